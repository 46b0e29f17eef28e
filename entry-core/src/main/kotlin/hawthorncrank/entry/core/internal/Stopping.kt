package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect

/**
 * A graceful stop: readiness turns first, so that the load balancer looks elsewhere; queued and running work finishes;
 * nothing new begins; the process ends when nothing is left.
 */
internal fun Reduction.stopRequested() {
    if (state.stop.requested) return
    state = state.copy(stop = state.stop.copy(requested = true, requestedAt = now))
    emit(EntryEffect.ReadinessChanged(false, "the entry is stopping"))
    record(EntryDecisionEvent.STOP_REQUESTED, "requests" to state.requests.active.size)
}

/** The load balancer goes on sending for a moment after readiness has turned; those requests are served. */
internal fun Reduction.stopRefuses(): Boolean =
    state.stop.requested && now - state.stop.requestedAt >= settings.behaviour.acceptAfterStop

internal fun Reduction.terminateWhenEmpty() {
    val stop = state.stop
    if (!stopRefuses() || stop.terminated) return
    val empty =
        state.requests.active.isEmpty() &&
            state.attempts.running.values
                .none { it.cancelled == null }
    if (!empty) return
    val since = stop.emptySince ?: now
    state = state.copy(stop = stop.copy(emptySince = since))
    if (!state.claims.settled) {
        if (now - since < RECORDS_WAIT_MILLISECONDS) return
        record(
            EntryDecisionEvent.STOP_LEFT_RECORDS,
            "outcomes" to state.claims.outcomes.size,
            "abandons" to state.claims.abandons.size,
        )
    }
    state = state.copy(stop = state.stop.copy(terminated = true))
    record(EntryDecisionEvent.STOP_FINISHED)
    emit(EntryEffect.Terminate)
}

// Without control the records cannot be delivered; resends then get "outcome unknown", which is the truth.
private const val RECORDS_WAIT_MILLISECONDS = 10_000L
