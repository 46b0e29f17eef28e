package hawthorncrank.entry.core.internal

/**
 * Switches for the mechanisms that provide the entry's guarantees. All are on in production. Tests switch some off to
 * show that the checks over generated histories detect that they are missing.
 */
internal data class EntryRules(
    val claimsPrecedeDispatch: Boolean = true,
    val claimedCallsRunOnce: Boolean = true,
    val refusalsReportPossibleRuns: Boolean = true,
    val deliveredBytesPreventRestart: Boolean = true,
    val staleAttemptsAreDiscarded: Boolean = true,
    val versionsOnlyIncrease: Boolean = true,
    val leavingUpstreamsGetNoWork: Boolean = true,
    val convictionsAreEnforced: Boolean = true,
    val engineLossesAreLimited: Boolean = true,
)
