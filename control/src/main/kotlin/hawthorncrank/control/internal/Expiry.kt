package hawthorncrank.control.internal

import hawthorncrank.control.ControlState
import hawthorncrank.control.FINISHED_CLAIM_RETENTION_MILLISECONDS

/**
 * Advances the clock, never backwards, and removes what has expired by then. A claim without an outcome never expires.
 */
internal fun ControlState.advancedTo(newClock: Long): ControlState {
    if (newClock <= clock) return this
    return copy(clock = newClock)
        .withoutExpiredClaims()
        .withoutExpiredConvictions()
        .withoutExpiredEvidence()
}

/** The map of finished claims is in the order of the clock, so its first elements are the oldest. */
private fun ControlState.withoutExpiredClaims(): ControlState {
    var remaining = finishedClaims
    var kept = claims
    while (remaining.isNotEmpty()) {
        val (number, finished) = remaining.entries.first()
        if (finished.finishedAt + FINISHED_CLAIM_RETENTION_MILLISECONDS > clock) break
        remaining = remaining.remove(number)
        if (kept[finished.key]?.claimNumber == number) kept = kept.remove(finished.key)
    }
    return if (remaining === finishedClaims) this else copy(finishedClaims = remaining, claims = kept)
}

private fun ControlState.withoutExpiredConvictions(): ControlState {
    val expired = convictions.filterValues { it.expiresAt <= clock }.keys
    if (expired.isEmpty()) return this
    val kept = expired.fold(convictions) { remaining, digest -> remaining.remove(digest) }
    return copy(convictions = kept, convictionRevision = convictionRevision + 1)
}
