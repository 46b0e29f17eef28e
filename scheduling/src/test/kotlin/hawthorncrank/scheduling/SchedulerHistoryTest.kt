package hawthorncrank.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks over generated histories that P1, R1, R3, R4 and the bounds hold and no request is lost or started twice. */
class SchedulerHistoryTest {
    @Test
    fun `no higher tier is shed or preempted while a lower one could be, and no request is lost`() {
        var preemptions = 0
        var sheds = 0
        for (seed in SEEDS) {
            val history = SchedulerHistory(seed).run(STEPS)
            assertEquals(emptyList(), history.violations.take(3), "seed $seed")
            preemptions += history.preemptions
            sheds += history.sheds
        }
        println("seeds $SEEDS, $STEPS steps each: $preemptions preemptions, $sheds sheds")
        assertTrue(preemptions > 1_000 && sheds > 1_000, "the histories must shed and preempt often")
    }

    @Test
    fun `the checks find a scheduler that refuses the new request whatever its tier`() =
        assertViolations("P1: shed") { SchedulerHistory(it, SchedulingPolicy(shedLowestTier = false)) }

    @Test
    fun `the checks find placement that counts lower tiers against a higher one`() =
        assertViolations("P1: shed") { SchedulerHistory(it, tierAware = false) }

    @Test
    fun `the checks find an order that ignores tiers`() =
        assertViolations("R1: ") { SchedulerHistory(it, SchedulingPolicy(tierOrder = false)) }

    @Test
    fun `the checks find preemption of work that has produced tokens`() =
        assertViolations("R4: ") { SchedulerHistory(it, SchedulingPolicy(preemptableTokens = 1_000)) }

    private fun assertViolations(
        expected: String,
        history: (Long) -> SchedulerHistory,
    ) {
        val found = SEEDS.count { seed -> history(seed).run(STEPS).violations.any { it.startsWith(expected) } }
        println("seeds $SEEDS: $found with \"$expected\"")
        assertTrue(found > 0, "the checks miss the fault on all seeds $SEEDS")
    }

    private companion object {
        val SEEDS = 1L..200L
        const val STEPS = 300
    }
}
