package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Refusal
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.Relay
import kotlinx.collections.immutable.toPersistentList

/*
 * Requests at an entry that cannot reach upstreams go to another entry, which decides on them as on those of its own
 * callers. They take one hop: the other entry never relays them again. It says when it cannot serve one, and the request
 * then goes to a third entry, or waits here.
 */

/** Sends the request to another entry if no upstream for it can be reached. A relayed request is refused instead. */
internal fun Reduction.relayIfCutOff(active: ActiveRequest): Boolean {
    if (settings.relayAddress == null || state.membership.observed.isEmpty()) return false
    return isCutOffFrom(active.request.target) && relayOrRefuse(active)
}

private fun Reduction.relayOrRefuse(active: ActiveRequest): Boolean {
    if (active.request.relayed) {
        refuse(active, Refusal.CannotRelay)
        return true
    }
    val relay = if (mayBeRelayed(active)) chooseRelay(active) else null
    relay?.let { startRelay(active, it) }
    return relay != null
}

internal fun Reduction.relaysListed(message: ControlToEntry.RelayList) {
    relays { it.copy(known = message.relays.toPersistentList()) }
    relayQueuedRequests()
}

internal fun Reduction.relaysTick() {
    if (settings.relayAddress == null || state.membership.observed.isEmpty()) return
    forgetAvoidedEntries()
    relayQueuedRequests()
}

/** Whether a refusal says nothing about the request, so that another entry may serve it. */
internal fun concernsOnlyThisEntry(refusal: Refusal): Boolean =
    when (refusal) {
        is Refusal.NoUpstream, Refusal.Stopping, Refusal.ConfigurationUnconfirmed, Refusal.NotProcessed -> true
        else -> false
    }

internal fun Reduction.relayBegan(attempt: RunningAttempt) {
    updateAttempt(attempt.copy(firstByteAt = attempt.firstByteAt ?: now))
    val active = currentRequest(attempt) ?: return
    update(active.copy(firstByteAt = active.firstByteAt ?: now))
}

internal fun Reduction.relayEnded(
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    state = state.copy(attempts = state.attempts.copy(running = state.attempts.running.remove(attempt.number)))
    val active = state.requests.active[attempt.requestNumber] ?: return
    if (attempt.cancelled != null || active.phase != RequestPhase.Running(attempt.number)) return
    explain(active.number, "was relayed to ${attempt.upstream}: ${describe(end)}")
    if (end is AttemptEnd.Completed) return relayAnswered(active, end)
    val notRun = certainlyNotStarted(end)
    if (notRun && end != AttemptEnd.Expired) avoid(attempt.upstream)
    val next =
        active.copy(
            mayHaveRun = active.mayHaveRun || !notRun,
            relaysRefused = active.relaysRefused + if (notRun) 1 else 0,
        )
    // The other entry states that it did not run the request, which is the same as if it had not been reached.
    val stated = if (end == AttemptEnd.Misdirected) AttemptEnd.NotConnected else end
    unclaimedAttemptEnded(next, attempt, stated)
}

/** The other entry has decided on retries, so its answer is final, whatever its status. */
private fun Reduction.relayAnswered(
    active: ActiveRequest,
    end: AttemptEnd.Completed,
) = update(
    active.copy(
        phase = RequestPhase.Delivering,
        firstByteAt = active.firstByteAt ?: now,
        deliveredTokens = active.deliveredTokens + end.tokens,
    ),
)

private fun mayBeRelayed(active: ActiveRequest): Boolean =
    active.request.retryPolicy != null && active.grantedClaim == null && active.relaysRefused < REFUSALS_LIMIT

private fun Reduction.relayQueuedRequests() {
    state.requests.active.values
        .filter { it.phase == RequestPhase.Queued }
        .groupBy { it.request.target.label }
        .filterValues { isCutOffFrom(it.first().request.target) }
        .forEach { (_, waiting) -> waiting.forEach(::relayOrRefuse) }
}

/** Prefers entries of this availability zone, then of the region. Requests are spread over those that are as near. */
private fun Reduction.chooseRelay(active: ActiveRequest): Relay? {
    askForRelays()
    val usable = state.relays.known.filter { it.entry !in state.relays.avoided }
    val nearest = usable.minOfOrNull(::distance) ?: return null
    val candidates = usable.filter { distance(it) == nearest }
    return candidates[Math.floorMod(active.number + active.relaysRefused, candidates.size)]
}

private fun Reduction.distance(relay: Relay): Int =
    when {
        relay.availabilityZone == settings.availabilityZone -> 0
        settings.regions[relay.availabilityZone] == settings.region -> 1
        else -> 2
    }

private fun Reduction.askForRelays() {
    val askedAt = state.relays.askedAt
    if (!state.controlLink.open || askedAt != null && now - askedAt < QUESTION_INTERVAL_MILLISECONDS) return
    relays { it.copy(askedAt = now) }
    emit(EntryEffect.SendToControl(EntryToControl.ListRelays))
}

private fun Reduction.forgetAvoidedEntries() {
    val expired =
        state.relays.avoided
            .filterValues { it <= now }
            .keys
    relays { it.copy(avoided = expired.fold(it.avoided) { avoided, entry -> avoided.remove(entry) }) }
}

private fun Reduction.avoid(entry: String) =
    relays { it.copy(avoided = it.avoided.put(entry, now + AVOIDED_MILLISECONDS)) }

private fun Reduction.startRelay(
    active: ActiveRequest,
    relay: Relay,
) {
    unschedule(active)
    recordRequestEvent(active, EntryDecisionEvent.REQUEST_RELAYED, "entry" to relay.entry)
    startRelayedAttempt(active, relay)
}

internal fun Reduction.relays(change: (RelayState) -> RelayState) {
    state = state.copy(relays = change(state.relays))
}

private const val REFUSALS_LIMIT = 6

// How long an entry that could not relay a request gets no others. It may be cut off from its upstreams as well.
private const val AVOIDED_MILLISECONDS = 2_000L
private const val QUESTION_INTERVAL_MILLISECONDS = 1_000L
