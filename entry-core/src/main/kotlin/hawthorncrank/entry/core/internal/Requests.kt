package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.CancelReason
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.entry.core.SilenceTimeouts
import hawthorncrank.protocol.Upstream

internal fun Reduction.requestArrived(request: CallerRequest) {
    if (state.stopping) return emit(EntryEffect.RefuseCaller(request.number, Refusal.Stopping))
    val upstream =
        eligible(request.target).minByOrNull { candidate ->
            state.attempts.running.values
                .count { it.upstream == candidate.name }
        }
            ?: return emit(EntryEffect.RefuseCaller(request.number, Refusal.NoUpstream(request.target.toString())))
    val number = state.attempts.nextNumber
    state =
        state.copy(
            requests =
                state.requests.copy(
                    active = state.requests.active.put(request.number, ActiveRequest(request, now, number)),
                ),
            attempts =
                state.attempts.copy(
                    running =
                        state.attempts.running.put(
                            number,
                            RunningAttempt(number, request.number, upstream.name),
                        ),
                    nextNumber = number + 1,
                ),
        )
    emit(
        EntryEffect.StartAttempt(
            attemptNumber = number,
            requestNumber = request.number,
            upstream = upstream.name,
            address = upstream.address,
            priority = 1,
            timeouts = SilenceTimeouts(1_000, 10_000, 10_000),
            deadlineMilliseconds = request.finishBy?.let { it - now },
            claimNumber = null,
            resume = null,
        ),
    )
}

private fun Reduction.eligible(target: RequestTarget): List<Upstream> =
    state.configuration.configuration.upstreams.filter {
        val serves =
            when (target) {
                is RequestTarget.Model -> target.model in it.models
                is RequestTarget.Service -> it.service == target.service && target.idempotent
            }
        serves && !it.leaving && it.name !in state.membership.leaving &&
            state.membership.live?.contains(it.name) != false
    }

internal fun Reduction.attemptFirstByte(attemptNumber: Long) {
    val attempt = state.attempts.running[attemptNumber] ?: return
    val active = state.requests.active[attempt.requestNumber] ?: return
    state =
        state.copy(
            requests =
                state.requests.copy(
                    active = state.requests.active.put(attempt.requestNumber, active.copy(firstByteAt = now)),
                ),
        )
}

internal fun Reduction.attemptEnded(
    attemptNumber: Long,
    end: AttemptEnd,
) {
    val attempt = state.attempts.running[attemptNumber] ?: return
    state = state.copy(attempts = state.attempts.copy(running = state.attempts.running.remove(attemptNumber)))
    val active = state.requests.active[attempt.requestNumber] ?: return
    if (end is AttemptEnd.Completed || active.attempt != attemptNumber) return
    forget(attempt.requestNumber)
    if (active.firstByteAt != null) {
        emit(EntryEffect.BreakStream(attempt.requestNumber, "the upstream broke off the answer"))
    } else {
        emit(EntryEffect.RefuseCaller(attempt.requestNumber, Refusal.Interrupted))
    }
}

internal fun Reduction.callerLeft(requestNumber: Long) {
    val active = state.requests.active[requestNumber] ?: return
    forget(requestNumber)
    active.attempt?.let { emit(EntryEffect.CancelAttempt(it, CancelReason.CALLER_LEFT)) }
}

internal fun Reduction.answerDelivered(requestNumber: Long) = forget(requestNumber)

private fun Reduction.forget(requestNumber: Long) {
    state = state.copy(requests = state.requests.copy(active = state.requests.active.remove(requestNumber)))
}
