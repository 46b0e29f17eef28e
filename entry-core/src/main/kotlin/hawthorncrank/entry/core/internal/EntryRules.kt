package hawthorncrank.entry.core.internal

/**
 * The mechanisms behind the entry's promises. All are on in production; the tests switch one off at a time to show that
 * the checks over generated histories notice its absence.
 */
internal data class EntryRules(
    val claimsPrecedeDispatch: Boolean = true,
    val claimedCallsRunOnce: Boolean = true,
    val refusalsStateTheTruth: Boolean = true,
    val deliveredBytesForbidRestart: Boolean = true,
    val staleAttemptsAreDiscarded: Boolean = true,
    val versionsOnlyRise: Boolean = true,
    val leavingUpstreamsGetNothing: Boolean = true,
    val convictionsAreEnforced: Boolean = true,
    val engineLossesAreLimited: Boolean = true,
)
