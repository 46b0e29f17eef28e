package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Refusal

/**
 * Starts a graceful stop. The entry first reports that it is not ready, so that the load balancer chooses another
 * entry. Queued and running requests finish, new ones are refused, and the process terminates when none are left.
 */
internal fun Reduction.stopRequested() {
    if (state.stop.requested) return
    state = state.copy(stop = state.stop.copy(requested = true, requestedAt = now))
    emit(EntryEffect.ReadinessChanged(false, "the entry is stopping"))
    record(EntryDecisionEvent.STOP_REQUESTED, "requests" to state.requests.active.size)
}

/**
 * Whether new requests are refused because of a stop. The load balancer still sends some for a short time after the
 * entry reports that it is not ready, and they are served.
 */
internal fun Reduction.refusesAfterStop(): Boolean =
    state.stop.requested && now - state.stop.requestedAt >= settings.behaviour.acceptAfterStop

internal fun Reduction.closeIdleConnectionsWhenRefusing() {
    if (state.stop.idleConnectionsClosed || !refusesAfterStop()) return
    state = state.copy(stop = state.stop.copy(idleConnectionsClosed = true))
    emit(EntryEffect.CloseIdleConnections)
}

/** Requests that no upstream has taken when the process is killed would end without an answer. */
internal fun Reduction.refuseQueuedBeforeKill() {
    val stopTime = settings.behaviour.stopTime ?: return
    if (!state.stop.requested || now - state.stop.requestedAt < stopTime - LAST_REFUSALS_MILLISECONDS) return
    state.requests.active.values
        .filter { it.phase == RequestPhase.Queued }
        .forEach { refuse(it, Refusal.Stopping) }
}

internal fun Reduction.terminateWhenIdle() {
    val stop = state.stop
    if (!refusesAfterStop() || stop.terminated) return
    val empty =
        state.requests.active.isEmpty() &&
            state.attempts.running.values
                .none { it.cancelled == null }
    if (!empty) return
    val since = stop.idleSince ?: now
    state = state.copy(stop = stop.copy(idleSince = since))
    if (!state.claims.allAcknowledged) {
        if (now - since < RECORDS_WAIT_MILLISECONDS) return
        record(
            EntryDecisionEvent.STOP_LEFT_RECORDS,
            "outcomes" to state.claims.pendingOutcomes.size,
            "abandons" to state.claims.pendingAbandons.size,
        )
    }
    if (usageDelaysStop(since)) return
    state = state.copy(stop = state.stop.copy(terminated = true))
    record(EntryDecisionEvent.STOP_FINISHED)
    emit(EntryEffect.Terminate)
}

// Without control the records cannot be delivered. Resends then correctly get "outcome unknown".
private const val RECORDS_WAIT_MILLISECONDS = 10_000L
private const val LAST_REFUSALS_MILLISECONDS = 1_000L
