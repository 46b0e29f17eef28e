package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.entry.core.ResumePoint
import hawthorncrank.entry.core.UpstreamTimeouts
import hawthorncrank.protocol.Relay
import hawthorncrank.protocol.Upstream
import hawthorncrank.routing.RoutedAttempt
import hawthorncrank.scheduling.CapacityKind

/** Sends a placed request to its upstream under a new attempt number. */
internal fun Reduction.startAttempt(
    active: ActiveRequest,
    upstream: Upstream,
    priority: Int,
) = start(active, AttemptDestination(upstream.name, upstream.address), priority, active.resume)

/** Sends a request to another entry, which does not count as work on an upstream here. */
internal fun Reduction.startRelayedAttempt(
    active: ActiveRequest,
    relay: Relay,
) {
    val destination = AttemptDestination(relay.entry, relay.address, relayed = true)
    start(active, destination, workOf(active).tier, active.resume)
}

/** Resumes a broken stream. The scheduler still counts the request as running, but the router has removed it. */
internal fun Reduction.resumeAttempt(
    active: ActiveRequest,
    upstream: Upstream,
    resume: ResumePoint,
) {
    val work = workOf(active)
    val routed = RoutedAttempt(active.number, upstream.name, work, work.tier, CapacityKind.SHARED)
    state = state.copy(router = state.router.attemptStarted(routed, now))
    start(active, AttemptDestination(upstream.name, upstream.address), work.tier, resume)
}

private class AttemptDestination(
    val name: String,
    val address: String,
    val relayed: Boolean = false,
)

private fun Reduction.start(
    active: ActiveRequest,
    destination: AttemptDestination,
    priority: Int,
    resume: ResumePoint?,
) {
    val request = active.request
    val relayed = destination.relayed
    if (!relayed) countEngineDemand(active)
    val number = state.attempts.nextNumber
    val attempt =
        RunningAttempt(
            number = number,
            requestNumber = request.number,
            className = request.className,
            contentDigest = request.contentDigest,
            upstream = destination.name,
            startedAt = now,
            priority = priority,
            // A resumed stream is still the same run, so another break is not additional evidence of a crash.
            suspect = !relayed && resume == null && state.suspects.isSuspect(request.contentDigest, now),
            billedTo = active.billedTo.takeUnless { relayed },
            relayed = relayed,
            software = state.streams.software[destination.name],
        )
    state = state.copy(attempts = AttemptsState(state.attempts.running.put(number, attempt), number + 1))
    val started =
        active.copy(
            phase = RequestPhase.Running(number),
            attempts = active.attempts + 1,
            startedAt = active.startedAt ?: now,
            upstream = destination.name,
            addresses = active.addresses.add(destination.address),
        )
    update(started)
    if (!relayed) recordStart(started, number, priority, resume)
    explain(request.number, "was sent to ${destination.name} as attempt $number with priority $priority")
    emit(
        EntryEffect.StartAttempt(
            attemptNumber = number,
            requestNumber = request.number,
            upstream = destination.name,
            address = destination.address,
            priority = priority,
            timeouts = upstreamTimeouts(request),
            deadlineMilliseconds = request.finishBy?.let { it - now },
            claimNumber = active.grantedClaim?.claimNumber,
            resume = resume,
            freshConnection = !request.isIdempotent,
            // All attempts carry the request's identifier, so only the connection tells their answers apart.
            newConnection = destination.address in active.addresses,
            relayed = relayed,
        ),
    )
}

/** Logs what this entry knew when it placed the attempt. The upstream's requests in flight include the attempt. */
private fun Reduction.recordStart(
    active: ActiveRequest,
    attemptNumber: Long,
    priority: Int,
    resume: ResumePoint?,
) {
    val request = active.request
    if (request.retryPolicy == null) return
    recordRequestEvent(
        active,
        EntryDecisionEvent.ATTEMPT_STARTED,
        "attempt" to attemptNumber,
        "upstream" to active.upstream,
        "priority" to priority,
        "in_flight" to active.upstream?.let(state.router.view::inFlight),
        "pending_prefill" to active.upstream?.let(state.router.view::pendingPrefillTokens),
        "token_interval" to active.upstream?.let(state.router.view::tokenInterval),
        "speed" to active.upstream?.let(state.router.view::speedFactor),
        "queued" to state.scheduler.view.queuedRequests,
        "waited" to now - active.arrivedAt,
        "time_left" to request.finishBy?.let { it - now },
        "resumed_after_bytes" to resume?.bytesDelivered,
        "list_age" to listAge,
    )
}

private fun Reduction.upstreamTimeouts(request: CallerRequest): UpstreamTimeouts {
    val target = trafficClass(request)?.firstToken?.value ?: 0
    val firstByte = maxOf(target * FIRST_BYTE_TARGET_MULTIPLE, FIRST_BYTE_TIMEOUT_MILLISECONDS)
    return UpstreamTimeouts(
        connect = CONNECT_TIMEOUT_MILLISECONDS,
        firstByte = if (request.isUnstreamedModelCall) maxOf(firstByte, completeAnswerTimeout(request)) else firstByte,
        betweenBytes = BETWEEN_BYTES_TIMEOUT_MILLISECONDS,
    )
}

/**
 * An engine sends the first byte of an unstreamed answer only when the answer is complete, so a long wait is normal.
 */
private val CallerRequest.isUnstreamedModelCall: Boolean
    get() = !streamed && target is RequestTarget.Model

private fun Reduction.completeAnswerTimeout(request: CallerRequest): Long =
    request.finishBy?.let { it - now } ?: COMPLETE_ANSWER_TIMEOUT_MILLISECONDS

/** Removes the attempt from its upstream's load. A cancelled attempt was already removed when it was cancelled. */
internal fun Reduction.removeFromUpstreamLoad(
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    if (attempt.cancelled != null) return
    val bytes = (end as? AttemptEnd.Completed)?.bytes ?: attempt.bytes
    state = state.copy(router = state.router.attemptEnded(attempt.requestNumber, bytes))
}

internal fun Reduction.updateProgress(
    attempt: RunningAttempt,
    active: ActiveRequest,
) {
    state =
        state.copy(
            scheduler = state.scheduler.progress(active.number, attempt.tokens, active.answerBegan, now),
            router = state.router.attemptProgress(active.number, attempt.tokens, now),
        )
}

/** Marks the upstream's work on the request as finished. The caller may not have received the complete answer yet. */
internal fun Reduction.finishUpstreamWork(
    active: ActiveRequest,
    tokens: Int,
    complete: Boolean,
) {
    state = state.copy(scheduler = state.scheduler.finished(active.number, tokens, complete, now))
}

/** Removes a request that ends from the scheduler, whether it is queued or running. */
internal fun Reduction.unschedule(active: ActiveRequest) {
    state = state.copy(scheduler = state.scheduler.remove(active.number))
}

internal const val CONNECT_TIMEOUT_MILLISECONDS = 1_000L
private const val FIRST_BYTE_TIMEOUT_MILLISECONDS = 10_000L
private const val BETWEEN_BYTES_TIMEOUT_MILLISECONDS = 10_000L
private const val COMPLETE_ANSWER_TIMEOUT_MILLISECONDS = 600_000L
private const val FIRST_BYTE_TARGET_MULTIPLE = 4
