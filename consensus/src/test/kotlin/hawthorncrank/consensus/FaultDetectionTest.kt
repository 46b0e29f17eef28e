package hawthorncrank.consensus

import hawthorncrank.consensus.internal.Safeguards
import kotlin.test.Test
import kotlin.test.fail

/** Shows that the generated histories notice a missing mechanism: each is switched off and must lead to a violation. */
class FaultDetectionTest {
    @Test
    fun `acknowledging before the sync is noticed by its consequences`() =
        expectViolation(Safeguards(awaitSync = false))

    @Test
    fun `acknowledging before the sync is noticed at the message`() =
        expectViolation(Safeguards(awaitSync = false), onlyOutcomes = false)

    @Test
    fun `a vote without comparing logs is noticed`() = expectViolation(Safeguards(compareLogs = false))

    @Test
    fun `a read without a confirmed round is noticed`() = expectViolation(Safeguards(confirmReads = false))

    @Test
    fun `a replica that votes under the identity of its lost disk is noticed by its consequences`() =
        expectViolation(Safeguards(), amnesia = true)

    @Test
    fun `a replica that votes under the identity of its lost disk is noticed at the message`() =
        expectViolation(Safeguards(), amnesia = true, onlyOutcomes = false)

    private fun expectViolation(
        safeguards: Safeguards,
        amnesia: Boolean = false,
        onlyOutcomes: Boolean = true,
    ) {
        for (seed in 1L..SEEDS) {
            try {
                GeneratedHistory(seed, safeguards, HistoryChecker(onlyOutcomes), amnesia).run()
            } catch (failure: IllegalStateException) {
                val stuck = failure.message.orEmpty().startsWith("no ")
                if (stuck) continue
                println("$safeguards, amnesia $amnesia, outcomes only $onlyOutcomes: seed $seed: ${failure.message}")
                return
            }
        }
        fail("no violation in seeds 1 to $SEEDS")
    }

    private companion object {
        const val SEEDS = 600L
    }
}
