package hawthorncrank.entry.core

import hawthorncrank.entry.core.internal.EntryRules
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards the promises of the design page against combinations of faults: several entries with one control group,
 * resends to any entry, kills, stops, one-way cuts, hanging, refusing and crashing upstreams, leaving marks, changes.
 */
class GeneratedHistoriesTest {
    @Test
    fun `every promise holds over generated histories`() {
        val count = Integer.getInteger("hawthorncrank.histories", 150)
        val firstSeed = java.lang.Long.getLong("hawthorncrank.seed", 1L)
        println("histories: $count from seed $firstSeed")
        var executions = 0
        var submissions = 0
        var answered = 0
        var preempted = 0
        var resumed = 0
        val failures = mutableListOf<String>()
        for (seed in firstSeed until firstSeed + count) {
            val result = History(seed).run()
            executions += result.fleet.executions.size
            preempted += result.fleet.preempted
            resumed += result.fleet.resumed
            submissions += result.fleet.submissions.size
            answered += result.fleet.submissions.count { Final.Whole in it.finals }
            if (result.violations.isNotEmpty()) {
                failures.add(
                    "seed $seed: ${result.violations.take(3)}; ${result.faults}",
                )
            }
        }
        println("histories: $submissions submissions, $executions executions, $answered whole answers")
        println("histories: $preempted preemptions, $resumed resumed streams, ${failures.size} failed")
        assertEquals(emptyList(), failures.take(3))
    }

    @ParameterizedTest
    @MethodSource("weakened")
    fun `the checks notice a missing mechanism`(weakened: Weakened) {
        val found =
            (1L..400L).firstOrNull { seed ->
                weakened
                    .history(seed)
                    .run()
                    .violations
                    .any { weakened.sign in it }
            }
        println("without ${weakened.mechanism}: ${weakened.sign} first found at seed $found")
        assertTrue(found != null, "no history showed ${weakened.sign} without ${weakened.mechanism}")
    }

    class Weakened internal constructor(
        val mechanism: String,
        val sign: String,
        private val rules: EntryRules,
        private val trafficGuards: Boolean = true,
    ) {
        internal fun history(seed: Long) = History(seed, rules, trafficGuards)

        override fun toString() = mechanism
    }

    companion object {
        @JvmStatic
        fun weakened() =
            listOf(
                Weakened("claims before dispatch", "DOUBLE", EntryRules(claimsPrecedeDispatch = false)),
                Weakened("single runs under a claim", "DOUBLE", EntryRules(claimedCallsRunOnce = false)),
                Weakened("truthful refusals", "NOT RUN", EntryRules(refusalsStateTheTruth = false)),
                Weakened(
                    "no restart after the first byte",
                    "SPLICED",
                    EntryRules(deliveredBytesForbidRestart = false),
                    false,
                ),
                Weakened("discarding of stale attempts", "ERROR", EntryRules(staleAttemptsAreDiscarded = false)),
                Weakened("rising versions", "REVERTED", EntryRules(versionsOnlyRise = false)),
                Weakened("leaving marks", "leaving", EntryRules(leavingUpstreamsGetNothing = false)),
                Weakened(
                    "convictions and the loss limit",
                    "CRASHES",
                    EntryRules(convictionsAreEnforced = false, engineLossesAreLimited = false),
                ),
            )
    }
}
