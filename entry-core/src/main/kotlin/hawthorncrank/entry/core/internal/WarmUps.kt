package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Measurement
import hawthorncrank.protocol.Upstream
import kotlinx.collections.immutable.toPersistentSet

/**
 * Tells the router which upstreams have started or recovered, so that they warm up. Those of the first list after the entry's
 * own start are new to the entry only. An upstream that was drained or marked as leaving did not stop either.
 */
internal fun Reduction.warmUpReturned(becameEligible: List<Upstream>) {
    if (!settings.behaviour.warmUp) return
    val recovered = becameEligible.filter { previousState.membership.observed[it.name]?.keptFromWork == true }
    val names = (startedUpstreams() + recovered.map { it.name }).toSet()
    names.forEach { state = state.copy(router = state.router.recovered(it, now)) }
}

private val Observation.keptFromWork: Boolean
    get() = excluded != null || held != null || taken != null

/** The upstreams that the list shows for the first time, or at another address, which is another start of the process. */
private fun Reduction.startedUpstreams(): List<String> {
    val before = previousState.membership
    if (before.live == null || before.listed === state.membership.listed) return emptyList()
    val addresses = before.listed.associate { it.name to it.address }
    return state.membership.listed
        .filter { addresses[it.name] != it.address }
        .map { it.name }
}

internal fun Reduction.warmUpAttemptFailed(
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    if (!settings.behaviour.warmUp || attempt.cancelled != null) return
    val failed =
        when (end) {
            AttemptEnd.NotConnected, is AttemptEnd.Rejected, is AttemptEnd.Broken, is AttemptEnd.TimedOut -> true
            else -> false
        }
    if (failed) upstreamFailed(attempt)
}

internal fun Reduction.upstreamFailed(attempt: RunningAttempt) {
    state = state.copy(router = state.router.attemptFailed(attempt.requestNumber, now))
}

/**
 * Measures the warm-ups and logs which began and ended since the last call. All of a second share one line, however many
 * there are.
 */
internal fun Reduction.recordWarmUps() {
    if (!settings.behaviour.warmUp) return
    val warming = state.router.view.warmingUpstreams(now)
    emit(EntryEffect.Measure(Measurement.WarmingUpstreams(warming.size)))
    val known = state.membership.warming
    if (warming == known) return
    membership { it.copy(warming = warming.toPersistentSet()) }
    recordWarmUps(EntryDecisionEvent.WARM_UP_BEGAN, warming - known)
    recordWarmUps(EntryDecisionEvent.WARM_UP_ENDED, known - warming)
}

private fun Reduction.recordWarmUps(
    event: EntryDecisionEvent,
    upstreams: Set<String>,
) {
    if (upstreams.isEmpty()) return
    val named = upstreams.sorted().take(NAMED_UPSTREAMS).joinToString(",")
    record(event, "upstreams" to named, "count" to upstreams.size)
}

private const val NAMED_UPSTREAMS = 10
