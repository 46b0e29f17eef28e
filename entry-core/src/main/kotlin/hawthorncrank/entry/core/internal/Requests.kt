package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.CancelReason
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Measurement
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.core.RequestResult
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.protocol.TrafficClass

/**
 * Refuses a new request, queues it, or first requests the claim that it needs. A request that was read under another
 * configuration than the one in force is read again, so that its key, route and class are those of one version.
 */
internal fun Reduction.requestArrived(request: CallerRequest) {
    val readUnder = request.configurationVersion
    if (readUnder != null && readUnder != state.configuration.version) {
        return emit(EntryEffect.ReadRequestAgain(request.number))
    }
    explain(request.number, "arrived from ${request.organisation} in class ${request.className}")
    val active = ActiveRequest(request, now, RequestPhase.Queued)
    update(active)
    val refusal = refusalOnArrival(request)
    when {
        refusal != null -> refuse(active, refusal)
        request.needsClaim -> requestClaim(active)
        else -> enqueue(active)
    }
}

private fun Reduction.refusalOnArrival(request: CallerRequest): Refusal? {
    val configuration = state.configuration.configuration
    val organisation = configuration.organisations.firstOrNull { it.name == request.organisation }
    val permitted = organisation != null && request.className in organisation.classes && trafficClass(request) != null
    return when {
        refusesAfterStop() -> Refusal.Stopping
        !state.configuration.inForce -> Refusal.NoUpstream(request.target.label)
        !confirmationValid -> Refusal.ConfigurationUnconfirmed
        !permitted -> Refusal.NotPermitted(request.className)
        !mayRun(request) -> convicted(request)
        state.configuration.effective.upstreams.none {
            serves(
                it,
                request.target,
            )
        } -> Refusal.NoUpstream(request.target.label)
        request.needsClaim && idempotencyKey(request).isEmpty() -> Refusal.IdempotencyKeyMissing
        else -> null
    }
}

internal fun Reduction.trafficClass(request: CallerRequest): TrafficClass? =
    state.configuration.configuration.classes
        .firstOrNull { it.name == request.className }

/** Ends a request with a refusal. Its claim is given up first if the call was not dispatched. */
internal fun Reduction.refuse(
    active: ActiveRequest,
    refusal: Refusal,
) {
    if (active.number !in state.requests.active) return
    if (active.answerBegan && active.request.retryPolicy != null) return breakStream(active, refusal.problem)
    if (active.waiting) giveUpClaim(active)
    val stated =
        when {
            active.mayHaveRun && rules.refusalsReportPossibleRuns -> refusal.withUnknownOutcome()
            active.request.relayed && concernsOnlyThisEntry(refusal) -> Refusal.CannotRelay
            else -> refusal
        }
    explain(active.number, "was refused with status ${stated.status}: ${stated.problem}")
    val explained = active.copy(reason = stated.problem)
    if (!active.callerLeft) emit(EntryEffect.RefuseCaller(active.number, stated))
    finish(explained, if (active.mayHaveRun) RequestResult.INTERRUPTED else RequestResult.REFUSED)
}

/** Ends a request whose answer has partly reached the caller and cannot continue. */
internal fun Reduction.breakStream(
    active: ActiveRequest,
    reason: String,
) {
    if (active.number !in state.requests.active) return
    explain(active.number, "ended with an error after its answer had begun: $reason")
    emit(EntryEffect.AbortStream(active.number, reason))
    finish(active.copy(reason = reason), RequestResult.INTERRUPTED)
}

internal fun Reduction.callerLeft(requestNumber: Long) {
    val active = state.requests.active[requestNumber] ?: return
    explain(requestNumber, "was abandoned by its caller")
    val phase = active.phase
    when {
        // A call that was sent under a claim runs to completion, so that a resend gets its answer.
        phase is RequestPhase.Running && active.grantedClaim != null -> update(active.copy(callerLeft = true))

        phase is RequestPhase.Running -> {
            cancelAttempt(phase.attemptNumber, CancelReason.CALLER_LEFT)
            finish(active, RequestResult.CALLER_LEFT)
        }

        else -> {
            if (active.waiting) giveUpClaim(active)
            finish(active, RequestResult.CALLER_LEFT)
        }
    }
}

internal fun Reduction.answerDelivered(requestNumber: Long) {
    val active = state.requests.active[requestNumber] ?: return
    if (active.phase != RequestPhase.Delivering) return
    explain(requestNumber, "was answered completely")
    finish(active, RequestResult.COMPLETED)
}

internal fun Reduction.finishReplayed(active: ActiveRequest) = finish(active, RequestResult.COMPLETED)

/** Refuses or cancels a request whose content may no longer run. */
internal fun Reduction.stopConvicted(active: ActiveRequest) {
    val phase = active.phase
    if (phase is RequestPhase.Delivering || phase is RequestPhase.Recording) return
    if (phase is RequestPhase.Running) {
        if (active.grantedClaim != null) return
        cancelAttempt(phase.attemptNumber, CancelReason.SUPERSEDED)
    }
    if (active.answerBegan) return breakStream(active, "its content crashed engines")
    val ran = active.mayHaveRun || phase is RequestPhase.Running
    refuse(active.copy(mayHaveRun = ran), convicted(active.request))
}

/**
 * Ends running requests whose deadline has passed before their answer began, because a late answer no longer helps the
 * caller. A claimed call continues, and an answer that has begun ends only on a route, after a grace period. Queued
 * requests that wait too long for an available upstream are refused.
 */
internal fun Reduction.requestsTick() {
    state.requests.active.values.forEach { active ->
        val phase = active.phase
        val pastDeadline = now >= (active.request.finishBy ?: Long.MAX_VALUE)
        val expired = pastDeadline && !active.answerBegan && active.grantedClaim == null
        if (phase is RequestPhase.Running && isOverdue(active)) {
            cancelAttempt(phase.attemptNumber, CancelReason.DEADLINE)
            return@forEach breakStream(active, "its deadline has passed")
        }
        if (expired && phase is RequestPhase.Running) {
            cancelAttempt(phase.attemptNumber, CancelReason.DEADLINE)
            refuse(active.copy(mayHaveRun = true), Refusal.DeadlineExceeded(DEFAULT_RETRY_AFTER_MILLISECONDS))
        }
    }
    state.requests.active.values
        .filter { it.phase == RequestPhase.Queued && now - it.arrivedAt >= UPSTREAM_WAIT_MILLISECONDS }
        .filterNot { anyUpstreamMayGetWork(it.request.target) }
        .forEach { refuse(it, Refusal.NoUpstream(it.request.target.label)) }
}

/** Whether a stream on a route is past its deadline and a short grace period, within which its engine ends it too. */
private fun Reduction.isOverdue(active: ActiveRequest): Boolean {
    val finishBy = active.request.finishBy ?: return false
    return active.request.retryPolicy != null && active.answerBegan && now >= finishBy + OVERDUE_GRACE_MILLISECONDS
}

/** Removes a request from all state. Attempts that still ran for it have already been cancelled. */
internal fun Reduction.finish(
    active: ActiveRequest,
    result: RequestResult,
) {
    if (active.number !in state.requests.active) return
    state = state.copy(requests = state.requests.copy(active = state.requests.active.remove(active.number)))
    unschedule(active)
    recordEnd(active, result)
    emit(EntryEffect.Measure(measurementOf(active, result)))
}

/** Logs one line for each request on a route, with what on-call engineers need to find the cause of its result. */
private fun Reduction.recordEnd(
    active: ActiveRequest,
    result: RequestResult,
) {
    val request = active.request
    if (request.retryPolicy == null) return
    recordRequestEvent(
        active,
        EntryDecisionEvent.REQUEST_ENDED,
        "organisation" to request.organisation,
        "class" to request.className,
        "target" to request.target.label,
        "prompt_tokens" to (request.target as? RequestTarget.Model)?.promptTokens,
        "maximum_tokens" to (request.target as? RequestTarget.Model)?.maximumTokens,
        "result" to result.name.lowercase(),
        "reason" to active.reason,
        "upstream" to active.upstream,
        "attempts" to active.attempts,
        "unreached" to active.unreached,
        "started_after" to active.startedAt?.let { it - active.arrivedAt },
        "first_byte_after" to active.firstByteAt?.let { it - active.arrivedAt },
        "ended_after" to now - active.arrivedAt,
        "read_under" to request.configurationVersion,
        "configuration" to state.configuration.version,
        "proof_age" to confirmationAge,
        "list_age" to listAge,
    )
}

/** Logs an event with the request's identifiers: the one from the caller and the number that this entry gave it. */
internal fun Reduction.recordRequestEvent(
    active: ActiveRequest,
    event: EntryDecisionEvent,
    vararg fields: Pair<String, Any?>,
) = record(event, "request" to active.request.identifier, "number" to active.number, *fields)

private fun Reduction.measurementOf(
    active: ActiveRequest,
    result: RequestResult,
): Measurement {
    val total = now - active.arrivedAt
    val firstByte = active.firstByteAt?.let { it - active.arrivedAt }
    val tokens = active.deliveredTokens
    val targets = trafficClass(active.request)
    val interval = if (firstByte != null && tokens > 1) (total - firstByte) / (tokens - 1) else null
    val targetsMet =
        result == RequestResult.COMPLETED &&
            meetsTarget(firstByte, targets?.firstToken?.value) &&
            meetsTarget(interval, targets?.betweenTokens?.value) &&
            meetsTarget(total, targets?.finishBy?.value)
    return Measurement.RequestEnded(
        organisation = active.request.organisation,
        className = active.request.className,
        result = result,
        waited = (active.startedAt ?: now) - active.arrivedAt,
        firstByte = firstByte,
        total = total,
        tokens = tokens,
        targetsMet = targetsMet,
    )
}

private fun meetsTarget(
    measured: Long?,
    target: Long?,
): Boolean = measured == null || target == null || measured <= target

internal fun Reduction.update(active: ActiveRequest) {
    state = state.copy(requests = state.requests.copy(active = state.requests.active.put(active.number, active)))
}

// Leaves time for the engine's own end of the stream to arrive, within the half second in which an answer is due.
private const val OVERDUE_GRACE_MILLISECONDS = 200L

// How long a request waits for an upstream to become available before it is refused.
private const val UPSTREAM_WAIT_MILLISECONDS = 10_000L
