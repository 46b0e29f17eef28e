package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.Duty
import hawthorncrank.control.EngineCountStatus
import hawthorncrank.control.EngineGroup
import hawthorncrank.control.UsageCell
import hawthorncrank.control.UsageCounter
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Five replicas close usage windows and order engines while they are killed, suspended, cut off, stopped, lose their disks
 * and have their clocks set forward. A breach of the platform's rules would cost the credit of a whole day.
 */
class DutyHistoryTest {
    private val histories = Integer.getInteger("hawthorncrank.histories", 20).coerceAtMost(1_000)

    @Test
    fun `the platform sees one holder at a time and every window once the group is healthy`() {
        var calls = 0
        var holders = 0
        for (seed in 1L..histories) {
            val history = History(seed)
            history.run()
            assertEquals(emptyList(), history.violations(), "seed $seed, ${history.states()}")
            calls += history.platform.arrivals.size
            holders +=
                history.platform.arrivals
                    .map { it.call.token }
                    .distinct()
                    .size
        }
        println("duty histories: $histories, seeds 1..$histories, $calls calls, $holders holders")
        assertTrue(holders > 2 * histories, "$holders holders made calls")
        assertTrue(calls > 30 * histories, "$calls calls arrived")
    }

    /** The checks of the platform must be able to fail. */
    @Test
    fun `without the check when a call is written, a suspended holder breaks the rules`() =
        assertBroken { History(it, checkedWhenWritten = false) }

    @Test
    fun `without the wait for the lease, two holders call one after another too soon`() =
        assertBroken { History(it, waits = false) }

    private fun assertBroken(history: (Long) -> History) {
        val seed = (1L..histories).firstOrNull { history(it).apply { run() }.violations().isNotEmpty() }
        println("duty histories without a safeguard: seed $seed shows a breach")
        assertNotNull(seed, "no seed of 1..$histories shows a breach")
    }

    private class History(
        seed: Long,
        checkedWhenWritten: Boolean = true,
        waits: Boolean = true,
    ) {
        private val random = Random(seed)
        val platform = DutyPlatform(LEASE, CALLS_PER_SECOND, random)
        private val correct = DutyRules("", Duty.entries.toSet(), CALLS_PER_SECOND.toDouble(), LEASE)
        private val rules = if (waits) correct else correct.copy(lease = 0)
        private val group = DutyGroup(random, rules, platform, checkedWhenWritten)
        private var window = 100L
        private var disksLost = 0

        fun run() {
            repeat(60) {
                fault()
                repeat(random.nextInt(1, 5)) {
                    work()
                    group.run(random.nextLong(50, 900))
                }
            }
            group.heal()
            group.suspendsCalls = false
            platform.disrupted = false
            group.run(30_000)
        }

        private fun work() {
            val name = group.holder() ?: group.names.random(random)
            val counter = UsageCounter("entry-${random.nextInt(3)}", "organisation-${random.nextInt(2)}")
            val cell = UsageCell(window - random.nextLong(3), counter, random.nextLong(1, 1_000))
            group.propose(group.names.random(random), ControlOperation.RecordUsage(listOf(cell)))
            if (random.nextInt(2) == 0) group.propose(name, ControlOperation.CloseUsageWindow(window++))
            val engines = EngineGroup("service-${random.nextInt(4)}", "zone", random.nextBoolean())
            group.propose(name, ControlOperation.OrderEngines(engines, random.nextInt(10)))
        }

        private fun fault() {
            val name = if (random.nextInt(3) > 0) group.holder() else null
            val target = name ?: group.names.random(random)
            when (random.nextInt(14)) {
                0 -> group.kill(target)
                1 -> group.names.forEach(group::kill).also { group.names.forEach(group::start) }
                2, 3 -> group.suspend(target, random.nextLong(200, 6_000))
                4 -> group.names.forEach { group.cut(target, it) }
                5 -> group.names.forEach { group.cut(it, target) }
                6 -> isolate(target)
                7 -> group.cutFromPlatform(target)
                8 ->
                    group.names
                        .shuffled(random)
                        .take(2)
                        .forEach(group::stepForward)
                9 -> group.stop(target)
                10 -> loseDisk(target)
                11 -> platform.disrupted = !platform.disrupted
                else -> group.heal()
            }
        }

        private fun isolate(target: String) {
            val side = setOf(target, group.names.random(random))
            group.names.forEach { from ->
                group.names.forEach { to -> if ((from in side) != (to in side)) group.cut(from, to) }
            }
        }

        /** At most two in one history, which is what the group tolerates. */
        private fun loseDisk(target: String) {
            if (disksLost++ < 2) group.loseDisk(target)
        }

        fun states() =
            group.names.map { name ->
                group.state(name)?.let {
                    val replica = it.replica
                    "$name ${replica.role} term ${replica.term} applied ${replica.appliedIndex} " +
                        "of ${replica.lastIndex}, ${it.control.duties}, ${it.dutyWork}"
                }
            }

        fun violations(): List<String> {
            val control =
                group.names
                    .mapNotNull(group::state)
                    .maxBy { it.replica.appliedIndex }
                    .control
            val undelivered = control.usage.closed.filter { !it.value.delivered || it.key !in platform.reports }
            val unanswered = control.engineCounts.orders.filter { it.value.status == EngineCountStatus.UNSENT }
            val differing =
                control.engineCounts.orders
                    .filter {
                        it.value.status == EngineCountStatus.ACCEPTED &&
                            platform.ordered[it.key] != it.value.count
                    }
            return platform.violations +
                undelivered.keys.map { "window $it is not delivered" } +
                unanswered.map { "${it.key} is not answered" } +
                differing.map { "${it.key} has ${platform.ordered[it.key]} for ${it.value.count}" }
        }
    }

    private companion object {
        const val LEASE = 3_000L
        const val CALLS_PER_SECOND = 10
    }
}
