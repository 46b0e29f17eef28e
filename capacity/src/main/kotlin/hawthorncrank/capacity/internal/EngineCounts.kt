package hawthorncrank.capacity.internal

import hawthorncrank.capacity.EnginePool
import hawthorncrank.protocol.EngineScaling

/** Numbers of engines by pool. */
internal data class EngineCounts(
    private val counts: Map<EnginePool, Int>,
) {
    val pools: Set<EnginePool> get() = counts.keys
    val total: Int get() = counts.values.sum()
    val regular: Int get() = counts.entries.sumOf { if (it.key.reclaimable) 0 else it.value }

    /** The engines that are left when those of any one zone that can be reclaimed are taken away. */
    val afterLoss: Int get() = total - (counts.entries.filter { it.key.reclaimable }.maxOfOrNull { it.value } ?: 0)

    operator fun get(pool: EnginePool): Int = counts[pool] ?: 0

    fun with(
        pool: EnginePool,
        count: Int,
    ) = EngineCounts(counts + (pool to count))

    fun inZone(zone: String): Int = this[EnginePool(zone, false)] + this[EnginePool(zone, true)]

    fun suffices(need: EngineNeed): Boolean = afterLoss >= need.total && regular >= need.regular

    fun cost(scaling: EngineScaling): Double = counts.entries.sumOf { it.value * scaling.price(it.key) }

    /** Removes engines that are not needed, the dearest first, if [removable] allows it. */
    fun trimmed(
        need: EngineNeed,
        scaling: EngineScaling,
        removable: (EnginePool, Int) -> Boolean,
    ): EngineCounts =
        pools.sortedByDescending { scaling.price(it) }.fold(this) { all, pool ->
            generateSequence(all) { it.with(pool, it[pool] - 1) }
                .takeWhile {
                    it == all ||
                        (it[pool] >= 0 && it.suffices(need) && it.allows(pool, scaling) && removable(pool, it[pool]))
                }.last()
        }

    private fun allows(
        pool: EnginePool,
        scaling: EngineScaling,
    ) = inZone(pool.availabilityZone) >= scaling.minimum
}

/** A zone without a price is taken to be as dear as the dearest one, so that it is left first. */
internal fun EngineScaling.price(pool: EnginePool): Double {
    val zone = zonePrices[pool.availabilityZone] ?: zonePrices.values.maxOrNull() ?: 1.0
    return if (pool.reclaimable) zone * reclaimablePrice else zone
}
