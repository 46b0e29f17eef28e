package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.entry.core.ResumePoint
import hawthorncrank.entry.core.UpstreamTimeouts
import hawthorncrank.protocol.Upstream
import hawthorncrank.routing.RoutedAttempt
import hawthorncrank.scheduling.CapacityKind

/** Sends a placed request to its upstream under a new attempt number. */
internal fun Reduction.startAttempt(
    active: ActiveRequest,
    upstream: Upstream,
    priority: Int,
) = start(active, upstream, priority, active.resume)

/** Continues a broken stream. The scheduler still counts the request as running; only the router forgot it. */
internal fun Reduction.resumeAttempt(
    active: ActiveRequest,
    upstream: Upstream,
    resume: ResumePoint,
) {
    val work = workOf(active)
    val routed = RoutedAttempt(active.number, upstream.name, work, work.tier, CapacityKind.SHARED)
    state = state.copy(router = state.router.attemptStarted(routed, now))
    start(active, upstream, work.tier, resume)
}

private fun Reduction.start(
    active: ActiveRequest,
    upstream: Upstream,
    priority: Int,
    resume: ResumePoint?,
) {
    val request = active.request
    val number = state.attempts.nextNumber
    val attempt =
        RunningAttempt(
            number = number,
            requestNumber = request.number,
            className = request.className,
            contentDigest = request.contentDigest,
            upstream = upstream.name,
            startedAt = now,
            // A resumed stream is the same run; that it breaks again is no second piece of evidence.
            suspect = resume == null && state.suspects.isSuspect(request.contentDigest, now),
        )
    state = state.copy(attempts = AttemptsState(state.attempts.running.put(number, attempt), number + 1))
    val started =
        active.copy(
            phase = RequestPhase.Running(number),
            attempts = active.attempts + 1,
            startedAt = active.startedAt ?: now,
            upstream = upstream.name,
        )
    update(started)
    recordStart(started, number, priority, resume)
    explain(request.number, "was sent to ${upstream.name} as attempt $number with priority $priority")
    emit(
        EntryEffect.StartAttempt(
            attemptNumber = number,
            requestNumber = request.number,
            upstream = upstream.name,
            address = upstream.address,
            priority = priority,
            timeouts = silenceTimeouts(request),
            deadlineMilliseconds = request.finishBy?.let { it - now },
            claimNumber = active.grantedClaim?.claimNumber,
            resume = resume,
            freshConnection = !request.isIdempotent,
        ),
    )
}

/** What this entry knew when it placed the attempt; its own load of the upstream includes the attempt. */
private fun Reduction.recordStart(
    active: ActiveRequest,
    attemptNumber: Long,
    priority: Int,
    resume: ResumePoint?,
) {
    val request = active.request
    if (request.retryPolicy == null) return
    recordOf(
        active,
        EntryDecisionEvent.ATTEMPT_STARTED,
        "attempt" to attemptNumber,
        "upstream" to active.upstream,
        "priority" to priority,
        "in_flight" to active.upstream?.let(state.router.view::inFlight),
        "speed" to active.upstream?.let(state.router.view::speedFactor),
        "queued" to state.scheduler.view.queuedRequests,
        "waited" to now - active.arrivedAt,
        "time_left" to request.finishBy?.let { it - now },
        "resumed_after_bytes" to resume?.bytesDelivered,
        "list_age" to listAge,
    )
}

private fun Reduction.silenceTimeouts(request: CallerRequest): UpstreamTimeouts {
    val target = trafficClass(request)?.firstToken?.value ?: 0
    val firstByte = maxOf(target * TARGETS_OF_SILENCE, FIRST_BYTE_MILLISECONDS)
    return UpstreamTimeouts(
        connect = CONNECT_MILLISECONDS,
        firstByte = if (request.wholeModelAnswer) maxOf(firstByte, timeForWholeAnswer(request)) else firstByte,
        betweenBytes = BETWEEN_BYTES_MILLISECONDS,
    )
}

/** An engine sends the first byte of an answer that is not streamed when it is complete; silence is no fault then. */
private val CallerRequest.wholeModelAnswer: Boolean
    get() = !streamed && target is RequestTarget.Model

private fun Reduction.timeForWholeAnswer(request: CallerRequest): Long =
    request.finishBy?.let { it - now } ?: WHOLE_ANSWER_MILLISECONDS

/** Takes the attempt off its upstream's load. A cancelled attempt was taken off when it was cancelled. */
internal fun Reduction.attemptReleased(
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    if (attempt.cancelled != null) return
    val bytes = (end as? AttemptEnd.Completed)?.bytes ?: attempt.bytes
    state = state.copy(router = state.router.attemptEnded(attempt.requestNumber, bytes))
}

internal fun Reduction.noteProgress(
    attempt: RunningAttempt,
    active: ActiveRequest,
) {
    state =
        state.copy(
            scheduler = state.scheduler.progress(active.number, attempt.tokens, active.answerBegan, now),
            router = state.router.attemptProgress(active.number, attempt.tokens, now),
        )
}

/** The upstream is done with the request; its answer may still be on the way to the caller. */
internal fun Reduction.leaveUpstream(
    active: ActiveRequest,
    tokens: Int,
    whole: Boolean,
) {
    state = state.copy(scheduler = state.scheduler.finished(active.number, tokens, whole, now))
}

/** Takes a request that ends out of the scheduler, wherever it is. */
internal fun Reduction.unschedule(active: ActiveRequest) {
    state = state.copy(scheduler = state.scheduler.remove(active.number))
}

private const val CONNECT_MILLISECONDS = 1_000L
private const val FIRST_BYTE_MILLISECONDS = 10_000L
private const val BETWEEN_BYTES_MILLISECONDS = 10_000L
private const val WHOLE_ANSWER_MILLISECONDS = 600_000L
private const val TARGETS_OF_SILENCE = 4
