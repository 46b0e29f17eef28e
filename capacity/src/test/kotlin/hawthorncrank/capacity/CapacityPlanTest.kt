package hawthorncrank.capacity

import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.EngineScaling
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CapacityPlanTest {
    private val zones = listOf("a", "b", "c")
    private val scaling = EngineScaling(1, 12, Milliseconds(4_000), 0.2, zones.associateWith { 1.0 })
    private var state = CapacityState()
    private var now = 0L
    private var number = 0L
    private val engines = HashMap<EnginePool, Int>()
    private val orders = HashMap<EnginePool, StandingOrder>()
    private val placed = ArrayList<EngineOrder>()

    init {
        zones.forEach { engines[EnginePool(it, false)] = 6 }
    }

    /** Callers would wait if a short rise of the load after a pause found too few engines. */
    @Test
    fun `engines are reduced in small steps until the need is met`() {
        seconds(120, share = 2.0)
        assertTrue(total() <= 6, "$engines")
        assertTrue(placed.filter { it.reason == OrderReason.SURPLUS }.size > 4, "$placed")
        val reclaimable = zones.map { engines[EnginePool(it, true)] ?: 0 }
        // 2 + 1.5 engines in a burst, of which 1 s of waiting in 6.5 s is allowed, at a use of 0.8.
        assertTrue(total() - reclaimable.max() >= 4, "$engines")
    }

    /** A leader that has just begun, or that hears of part of the demand, must not dismiss engines that are needed. */
    @Test
    fun `nothing is reduced while the demand or the list is unknown or old`() {
        seconds(60, share = null)
        seconds(60, share = 1.0, demandAge = 4_000)
        seconds(60, share = 1.0, listAge = 4_000)
        seconds(3, share = 1.0)
        assertTrue(placed.none { it.reason == OrderReason.SURPLUS }, "$placed")
        assertTrue(zones.all { engines[EnginePool(it, false)] == 6 }, "$engines")
    }

    /** Demand that is not reported looks like demand that has ended. */
    @Test
    fun `nothing is reduced when fewer entries report than before`() {
        seconds(9, share = 8.0)
        seconds(15, share = 1.0, entries = 4)
        assertTrue(placed.none { it.reason == OrderReason.SURPLUS }, "$placed")
    }

    @Test
    fun `engines are ordered in the first second in which the demand exceeds them`() {
        seconds(1, share = 16.0)
        assertTrue(total() > 18, "$engines")
        assertTrue(engines.filterKeys { it.reclaimable }.values.sum() > 0, "$engines")
        assertTrue(
            zones.all { zone ->
                engines.filterKeys { it.availabilityZone == zone }.values.sum() <= 12
            },
            "$engines",
        )
    }

    /** Repeating a refused order every second would use up the rate of calls that all orders share. */
    @Test
    fun `a refused order is not repeated at once and other engines are ordered instead`() {
        seconds(1, share = 12.0, refuses = { it.reclaimable })
        val refused = placed.filter { it.pool.reclaimable }.map { it.pool }
        assertTrue(refused.isNotEmpty())
        placed.clear()
        seconds(6, share = 12.0, refuses = { it.reclaimable })
        assertTrue(placed.none { it.pool in refused && it.count > 0 }, "$placed")
        assertTrue(placed.any { !it.pool.reclaimable }, "$placed")
    }

    /** The lowest number of a zone must not lead to an order every second either. */
    @Test
    fun `a zone without engines to be had gets few orders`() {
        engines.keys
            .toList()
            .filter { it.availabilityZone == "a" }
            .forEach { engines[it] = 0 }
        seconds(60, share = 2.0, refuses = { it.availabilityZone == "a" })
        val refused = placed.filter { it.pool.availabilityZone == "a" && it.count > 0 }
        assertTrue(refused.size in 1..12, "$refused")
    }

    /** Without this, the order that stands would look as if the engines were still there. */
    @Test
    fun `engines that were taken away are replaced in other zones and later in their own`() {
        seconds(120, share = 2.0)
        val lost = EnginePool(zones.first { (engines[EnginePool(it, true)] ?: 0) > 0 }, true)
        engines[lost] = 0
        placed.clear()
        seconds(2, share = 2.0)
        assertEquals(0, placed.first { it.pool == lost }.count)
        assertTrue(placed.any { it.pool != lost && it.reason == OrderReason.DEMAND }, "$placed")
        seconds(6, share = 2.0)
        assertTrue(placed.none { it.pool == lost && it.count > 0 }, "$placed")
    }

    /** An oscillation costs caches and streams with every change. */
    @Test
    fun `a constant demand leads to no orders once the number is reached`() {
        seconds(150, share = 3.0)
        placed.clear()
        seconds(100, share = 3.0)
        assertEquals(emptyList(), placed)
    }

    private fun total() = engines.values.sum()

    private fun seconds(
        count: Int,
        share: Double?,
        demandAge: Long = 1_000,
        listAge: Long = 1_000,
        entries: Int = 5,
        refuses: (EnginePool) -> Boolean = { false },
    ) = repeat(count) {
        now += 1_000
        val classes =
            listOf("urgent" to 1, "patient" to 3).map { (name, tier) ->
                ClassDemand(name, tier, 2_000, share?.div(2), runningStreams = 10, waitingMilliseconds = 0.0)
            }
        val listed = engines.mapValues { ListedEngines(it.value, 0, slots = 64) }
        val demand = ServiceDemand(classes, entries, demandAge)
        val planned =
            plan(state, listOf(ServiceObservation("s", scaling, demand, listed, listAge, orders.toMap())), now)
        state = planned.state
        planned.orders.forEach { order ->
            placed += order
            val refused = refuses(order.pool) && order.count > (engines[order.pool] ?: 0)
            orders[order.pool] = StandingOrder(order.count, ++number, refused)
            if (!refused) engines[order.pool] = order.count
        }
    }
}
