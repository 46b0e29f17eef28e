package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaRole
import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.control.EngineCountStatus
import hawthorncrank.control.internal.ScaledEngines.Companion.SERVICE
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Tests how demand that entries report to real replicas becomes orders to the platform. */
class EngineDemandHistoryTest {
    private val engines = ScaledEngines()
    private val group = engines.group

    /** A crash between the call and the commit would leave an order that nobody knows of. */
    @AfterTest
    fun `every call is made for an order that is committed`() = assertEquals(emptyList(), engines.violations)

    @Test
    fun `demand of entries at all replicas reaches the leader, which orders engines for it`() {
        report(1.0, 2.0, 3.0)
        engines.run(10_000)
        val demand = assertNotNull(recentDemand())
        assertEquals(3, demand.entries)
        assertEquals(6.0, demand.classes.single().prefillShare)
        assertEquals(6, demand.classes.single().runningStreams)
        assertTrue(ordered() >= 8, "${ordered()} engines for six busy ones")
        assertTrue(orders().all { it.status == EngineCountStatus.ACCEPTED })
        val metrics = ControlMetrics({ engines.leader() }, { 0 }).scrape()
        val regular =
            engines
                .leader()
                .control.engineCounts
                .ordered(reclaimable = false)
        assertContains(metrics, "hawthorncrank_control_engines_ordered{kind=\"regular\"} $regular.0")
        assertContains(metrics, "hawthorncrank_control_engines_ordered{kind=\"reclaimable\"} ${ordered() - regular}.0")
        assertEquals(setOf(group.leader()), engines.calls.map { it.replica }.toSet())
    }

    /** Its entries have moved to other replicas by then and would count twice. */
    @Test
    fun `demand of a replica that has recorded none for three seconds does not count`() {
        report(1.0, 1.0, 1.0)
        engines.run(10_000)
        val silent = group.follower()
        group.cut(silent)
        engines.run(1_500)
        assertEquals(3, assertNotNull(recentDemand()).entries)
        engines.run(2_500)
        val demand = assertNotNull(recentDemand())
        assertEquals(2, demand.entries)
        assertEquals(2.0, demand.classes.single().prefillShare)
        group.heal()
        engines.run(5_000)
        assertEquals(3, assertNotNull(recentDemand()).entries)
    }

    @Test
    fun `an entry that is gone does not count`() {
        report(1.0, 1.0, 1.0)
        engines.run(10_000)
        engines.demand -= 3
        engines.run(6_000)
        assertEquals(2, assertNotNull(recentDemand()).entries)
    }

    /** The leader must not call before a majority has stored the order, nor order again for the same need. */
    @Test
    fun `an order that cannot be committed is not sent and not repeated`() {
        val patient = ScaledEngines(PATIENT)
        (1..3).forEach { patient.demand[it] = 2.0 }
        patient.run(40_000)
        val leader = patient.group.leader()
        val calls = patient.calls.size
        patient.replicas.filter { it != leader }.forEach(patient.group::cut)
        patient.lose(
            patient
                .leader()
                .control.engineCounts.orders.keys,
        )
        patient.run(1_200)
        val pending = patient.pendingOrders(leader)
        assertNotEquals(emptyList(), pending)
        patient.run(2_500)
        assertEquals(ReplicaRole.LEADER, patient.leader().replica.role)
        assertEquals(pending, patient.pendingOrders(leader))
        assertEquals(calls, patient.calls.size)
        assertEquals(emptyList(), patient.violations)
    }

    /** Committed later, it would replace what a new holder has ordered since. */
    @Test
    fun `an order that a holder could not commit is withdrawn when it has lost the lead`() {
        report(2.0, 2.0, 2.0)
        engines.run(40_000)
        val former = group.leader()
        group.cut(former)
        engines.lose(ordersOf(former))
        engines.run(1_200)
        assertNotEquals(emptyList(), engines.pendingOrders(former))
        engines.run(6_000)
        assertNotEquals(ReplicaRole.LEADER, group.state(former).replica.role)
        assertEquals(emptyList(), engines.pendingOrders(former))
        val numbers = orders().map { it.number }
        group.heal()
        engines.demand.clear()
        engines.run(3_000)
        assertEquals(numbers, orders().map { it.number })
    }

    @Test
    fun `without demand or with an old list nothing is reduced`() {
        report(4.0, 4.0, 4.0)
        engines.run(60_000)
        engines.demand.clear()
        val settled = engines.reductions().size
        engines.run(60_000)
        assertEquals(settled, engines.reductions().size, "without demand")
        engines.platformAnswers = false
        engines.run(4_000)
        report(0.5, 0.5, 0.5)
        engines.run(60_000)
        assertEquals(settled, engines.reductions().size, "with an old list")
        engines.platformAnswers = true
        engines.run(60_000)
        assertTrue(engines.reductions().size > settled, "with low demand and a new list")
    }

    /** Its own entries may be idle, so what other replicas recorded must be enough. */
    @Test
    fun `a new leader plans from the demand that replicas have recorded`() {
        report(2.0, 2.0, 2.0)
        engines.run(40_000)
        val former = group.leader()
        val settled = engines.reductions().size
        group.cut(former)
        engines.run(6_000)
        val leader = group.leader()
        assertNotEquals(former, leader)
        assertEquals(2, assertNotNull(recentDemand()).entries)
        engines.demand -= engines.replicas.indexOf(leader) + 1
        val other = engines.demand.keys.first { engines.replicas[it - 1] != former }
        val before = ordered()
        engines.demand[other] = 12.0
        engines.run(10_000)
        assertTrue(ordered() > before, "${ordered()} engines, $before before")
        assertEquals(settled, engines.reductions().size)
        assertEquals(leader, engines.calls.last().replica)
    }

    private fun report(vararg shares: Double) =
        shares.forEachIndexed { index, share -> engines.demand[index + 1] = share }

    private fun recentDemand() = engines.leader().recentDemand(SERVICE, group.now)

    private fun orders() =
        engines
            .leader()
            .control.engineCounts.orders.values

    private fun ordersOf(replica: String) =
        group
            .state(replica)
            .control.engineCounts.orders.keys
            .toSet()

    private fun ordered() = orders().sumOf { it.count }

    private companion object {
        /** A leader that is cut off remains the leader for some seconds. */
        val PATIENT =
            ReplicaSettings(emptyList(), electionTimeoutMinimum = 6_000, electionTimeoutMaximum = 8_000)
    }
}
