package hawthorncrank.entry.core

import hawthorncrank.entry.core.internal.EntryRules
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Tests the guarantees of the design page under combinations of faults: several entries with one control group, resends
 * to any entry, kills, graceful stops, one-way network cuts, upstreams that hang, reject calls, crash or leave, and
 * configuration changes.
 */
class GeneratedHistoriesTest {
    @Test
    fun `every guarantee holds over generated histories`() {
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
            answered += result.fleet.submissions.count { Final.Complete in it.finals }
            if (result.violations.isNotEmpty()) {
                failures.add(
                    "seed $seed: ${result.violations.take(3)}; ${result.faults}",
                )
            }
        }
        println("histories: $submissions submissions, $executions executions, $answered complete answers")
        println("histories: $preempted preemptions, $resumed resumed streams, ${failures.size} failed")
        assertEquals(emptyList(), failures.take(3))
    }

    @Test
    fun `the checks detect each missing mechanism`() {
        val weakened =
            listOf(
                Triple("claims before dispatch", "DOUBLE", EntryRules(claimsPrecedeDispatch = false)),
                Triple("single runs under a claim", "DOUBLE", EntryRules(claimedCallsRunOnce = false)),
                Triple("refusals that report possible runs", "NOT RUN", EntryRules(refusalsReportPossibleRuns = false)),
                Triple("no restart after the first byte", "SPLICED", EntryRules(deliveredBytesPreventRestart = false)),
                Triple("discarding of stale attempts", "ERROR", EntryRules(staleAttemptsAreDiscarded = false)),
                Triple("versions that only increase", "REVERTED", EntryRules(versionsOnlyIncrease = false)),
                Triple("leaving marks", "leaving", EntryRules(leavingUpstreamsGetNoWork = false)),
                Triple(
                    "loss limits",
                    "CRASHES",
                    EntryRules(convictionsAreEnforced = false, engineLossesAreLimited = false),
                ),
            )
        weakened.forEach { (mechanism, sign, rules) ->
            // The traffic threads also reject a restart after the first byte, so that check is off in this case.
            val trafficRejectsRestarts = sign != "SPLICED"
            val found =
                (1L..1_500L).firstOrNull { seed ->
                    History(seed, rules, trafficRejectsRestarts).run().violations.any { sign in it }
                }
            println("without $mechanism: $sign first found at seed $found")
            assertTrue(found != null, "no history showed $sign without $mechanism")
        }
    }

    @Test
    fun `the checks detect an upstream that runs a call twice`() {
        val violations = History(1, upstreamsRunTwice = true).run().violations
        assertTrue(violations.any { "DOUBLE" in it }, violations.toString())
    }
}
