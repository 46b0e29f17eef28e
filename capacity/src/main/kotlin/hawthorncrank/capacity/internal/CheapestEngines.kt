package hawthorncrank.capacity.internal

import hawthorncrank.capacity.EnginePool
import hawthorncrank.protocol.EngineScaling
import kotlin.math.max
import kotlin.math.min

/**
 * Finds the cheapest numbers of engines that suffice. If none do within the limits, it finds those that come nearest.
 * [limit] is the highest number of a pool.
 */
internal fun cheapestEngines(
    need: EngineNeed,
    scaling: EngineScaling,
    limit: (EnginePool) -> Int,
): EngineCounts {
    val zones =
        scaling.zonePrices.entries
            .sortedBy { it.value }
            .map { it.key }
    val step = max(1, (need.total - need.regular) / REGULAR_STEPS)
    return (need.regular..need.total + step step step)
        .flatMap { regular -> regularEngines(regular, zones, scaling, limit) }
        .flatMap { base ->
            (0..zones.size).map { withReclaimable(base, zones.take(it), need, scaling, limit) }
        }.map { filledToMinimum(it, zones, scaling, limit) }
        .minWith(
            compareBy({ -min(it.afterLoss, need.total) }, { -min(it.regular, need.regular) }, { it.cost(scaling) }),
        )
}

/**
 * Cheap zones first, but at most half of the engines in one zone, so that a failed zone doesn't take all of them; or an even
 * spread, which leaves more zones room for reclaimable engines.
 */
private fun regularEngines(
    count: Int,
    zones: List<String>,
    scaling: EngineScaling,
    limit: (EnginePool) -> Int,
): List<EngineCounts> =
    listOf((count + 1) / 2, (count + zones.size - 1) / zones.size).distinct().map { most ->
        val spread = zones.fold(EngineCounts(emptyMap())) { all, zone -> all.filled(zone, count, most, scaling, limit) }
        zones.fold(spread) { all, zone -> all.filled(zone, count, scaling.maximum, scaling, limit) }
    }

private fun EngineCounts.filled(
    zone: String,
    count: Int,
    most: Int,
    scaling: EngineScaling,
    limit: (EnginePool) -> Int,
): EngineCounts {
    val pool = EnginePool(zone, false)
    val wanted = this[pool] + count - total
    return with(pool, max(this[pool], minOf(wanted, most, limit(pool), scaling.maximum)))
}

private fun withReclaimable(
    base: EngineCounts,
    zones: List<String>,
    need: EngineNeed,
    scaling: EngineScaling,
    limit: (EnginePool) -> Int,
): EngineCounts {
    fun level(engines: Int) =
        zones.fold(base) { counts, zone ->
            val pool = EnginePool(zone, true)
            counts.with(pool, minOf(engines, limit(pool), scaling.maximum - base.inZone(zone)).coerceAtLeast(0))
        }
    val most = level(scaling.maximum)
    if (!most.suffices(need)) {
        return most.trimmed(EngineNeed(most.afterLoss, regular = 0), scaling) { pool, _ -> pool.reclaimable }
    }
    // One engine more in each zone never leaves fewer after a loss, so the lowest level can be found by halving.
    var insufficient = -1
    var sufficient = scaling.maximum
    while (sufficient - insufficient > 1) {
        val middle = (insufficient + sufficient) / 2
        if (level(middle).suffices(need)) sufficient = middle else insufficient = middle
    }
    return level(sufficient).trimmed(need, scaling) { pool, _ -> pool.reclaimable }
}

private fun filledToMinimum(
    counts: EngineCounts,
    zones: List<String>,
    scaling: EngineScaling,
    limit: (EnginePool) -> Int,
): EngineCounts =
    zones.fold(counts) { filled, zone ->
        val missing = scaling.minimum - filled.inZone(zone)
        val pool =
            listOf(EnginePool(zone, true), EnginePool(zone, false)).find { limit(it) - filled[it] >= missing }
        if (missing <= 0 || pool == null) filled else filled.with(pool, filled[pool] + missing)
    }

/** With hundreds of engines only some numbers of regular ones are tried. */
private const val REGULAR_STEPS = 20
