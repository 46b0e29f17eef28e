package hawthorncrank.consensus

import hawthorncrank.consensus.internal.Safeguards
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Verifies that the generated histories detect a missing safety rule: disabling each one must cause a violation. */
class FaultDetectionTest {
    @Test
    fun `acknowledging before the sync is detected`() = expectViolations(Safeguards(awaitSync = false))

    @Test
    fun `a vote without comparing logs is detected`() = expectViolations(Safeguards(compareLogs = false))

    @Test
    fun `a read without a confirmed round is detected`() = expectViolations(Safeguards(confirmReads = false))

    @Test
    fun `a replica that votes under the identity of its lost disk is detected`() =
        expectViolations(Safeguards(), keepIdentityOfLostDisk = true)

    /** Uses an idle group: with traffic, the isolated follower misses records and cannot win an election. */
    @Test
    fun `an election within the lease of a leader is detected`() =
        listOf(true, false).forEach { respectLeases ->
            val group = SimulatedGroup(seed = 17, safeguards = Safeguards(respectLeases = respectLeases))
            group.awaitHealthy()
            val (leader, follower) = group.leader!!.name to group.followers().first()
            group.cutLinks += setOf(leader to follower, follower to leader)
            val violation = runCatching { group.run(20_000) }.exceptionOrNull()
            assertEquals(!respectLeases, violation is Violation)
        }

    /** Runs once with all checks and once with only the checks on outcomes. */
    private fun expectViolations(
        safeguards: Safeguards,
        keepIdentityOfLostDisk: Boolean = false,
    ) = listOf(false, true).forEach { onlyOutcomes ->
        val found =
            (1L..SEEDS).firstNotNullOfOrNull { seed ->
                val history = GeneratedHistory(seed, safeguards, HistoryChecker(onlyOutcomes), keepIdentityOfLostDisk)
                val problem = (runCatching(history::run).exceptionOrNull() as? IllegalStateException)?.message
                problem?.takeIf { !it.startsWith("no ") }?.let { "seed $seed: $it" }
            }
        println("$safeguards, keepIdentityOfLostDisk $keepIdentityOfLostDisk, outcomes only $onlyOutcomes: $found")
        assertNotNull(found, "no violation in seeds 1 to $SEEDS")
    }
}

private const val SEEDS = 600L
