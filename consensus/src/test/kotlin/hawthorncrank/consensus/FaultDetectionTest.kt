package hawthorncrank.consensus

import hawthorncrank.consensus.internal.Safeguards
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Shows that the generated histories notice a missing mechanism: each is switched off and must lead to a violation. */
class FaultDetectionTest {
    @Test
    fun `acknowledging before the sync is noticed`() = expectViolations(Safeguards(awaitSync = false))

    @Test
    fun `a vote without comparing logs is noticed`() = expectViolations(Safeguards(compareLogs = false))

    @Test
    fun `a read without a confirmed round is noticed`() = expectViolations(Safeguards(confirmReads = false))

    @Test
    fun `a replica that votes under the identity of its lost disk is noticed`() =
        expectViolations(Safeguards(), amnesia = true)

    /** Random traffic hides it, because a follower that misses records cannot win; an idle group shows it. */
    @Test
    fun `an election within the lease of a leader is noticed`() =
        listOf(true, false).forEach { respectLeases ->
            val group = SimulatedGroup(seed = 17, safeguards = Safeguards(respectLeases = respectLeases))
            group.settle()
            val (leader, follower) = group.leader!!.name to group.followers().first()
            group.cuts += setOf(leader to follower, follower to leader)
            val violation = runCatching { group.run(20_000) }.exceptionOrNull()
            assertEquals(!respectLeases, violation is Violation)
        }

    /** Once with all checks, and once by the outcomes alone. */
    private fun expectViolations(
        safeguards: Safeguards,
        amnesia: Boolean = false,
    ) = listOf(false, true).forEach { onlyOutcomes ->
        val found =
            (1L..SEEDS).firstNotNullOfOrNull { seed ->
                val history = GeneratedHistory(seed, safeguards, HistoryChecker(onlyOutcomes), amnesia)
                val problem = (runCatching(history::run).exceptionOrNull() as? IllegalStateException)?.message
                problem?.takeIf { !it.startsWith("no ") }?.let { "seed $seed: $it" }
            }
        println("$safeguards, amnesia $amnesia, outcomes only $onlyOutcomes: $found")
        assertNotNull(found, "no violation in seeds 1 to $SEEDS")
    }
}

private const val SEEDS = 600L
