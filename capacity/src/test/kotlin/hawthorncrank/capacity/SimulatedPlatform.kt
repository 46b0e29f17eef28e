package hawthorncrank.capacity

/** A platform whose engines serve [boot] ms after their order, and whose reclaimable engines are taken away by zone. */
internal class SimulatedPlatform(
    private val prices: Map<String, Double>,
    private val reclaimablePrice: Double,
    private val boot: Long,
) {
    private val gone = ArrayList<SimulatedEngine>()
    val engines = ArrayList<SimulatedEngine>()
    val orders = HashMap<EnginePool, StandingOrder>()
    private val unavailableUntil = HashMap<String, Long>()
    private var orderNumber = 0L

    fun order(
        pool: EnginePool,
        count: Int,
        now: Long,
        bootTime: Long = boot,
    ) {
        val present = engines.filter { it.pool == pool && it.leavingAt == null }
        val refused = count > present.size && pool.reclaimable && now < (unavailableUntil[pool.availabilityZone] ?: 0)
        orders[pool] = StandingOrder(count, ++orderNumber, refused)
        if (refused) return
        repeat(count - present.size) { engines += SimulatedEngine(pool, orderedAt = now, servesAt = now + bootTime) }
        present.takeLast((present.size - count).coerceAtLeast(0)).forEach { it.leave(now, LEAVE_MILLISECONDS) }
    }

    /** The engines that are taken away, which no order replaces for [RECLAIMED_MILLISECONDS] after that. */
    fun reclaim(
        zone: String,
        now: Long,
    ) {
        engines
            .filter { it.pool == EnginePool(zone, true) && it.leavingAt == null }
            .forEach { it.leave(now, NOTICE_MILLISECONDS) }
        unavailableUntil[zone] = now + NOTICE_MILLISECONDS + RECLAIMED_MILLISECONDS
    }

    /** The engines that entries use, which learn [lag] ms late that an engine leaves. */
    fun serving(
        now: Long,
        lag: Long,
    ): List<SimulatedEngine> {
        engines.filter { it.goneAt <= now - lag }.let {
            engines -= it.toSet()
            gone += it
        }
        return engines.filter { it.servesAt <= now && now < (it.leavingAt ?: NEVER) + lag }
    }

    fun listed(now: Long): Map<EnginePool, ListedEngines> =
        engines.filter { it.servesAt <= now && now < it.goneAt }.groupBy { it.pool }.mapValues { (_, members) ->
            val leaving = members.count { it.leavingAt != null }
            ListedEngines(members.size - leaving, leaving, SimulatedEngine.SLOTS)
        }

    fun cost(end: Long): Double =
        (engines + gone).sumOf { engine ->
            val share = if (engine.pool.reclaimable) reclaimablePrice else 1.0
            val from = engine.orderedAt.coerceAtLeast(0)
            (minOf(end, engine.goneAt) - from) / 1_000.0 * share * prices.getValue(engine.pool.availabilityZone)
        }

    private companion object {
        const val NEVER = Long.MAX_VALUE / 2
        const val LEAVE_MILLISECONDS = 4_000L
        const val NOTICE_MILLISECONDS = 2_500L
        const val RECLAIMED_MILLISECONDS = 8_000L
    }
}
