package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Measurement
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.core.ResumePoint
import hawthorncrank.entry.core.RetryPolicy
import hawthorncrank.entry.core.TimeoutPhase
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind

/**
 * Handles the end of an attempt without a claim: the request gets its answer, another attempt, a resumed stream or an
 * error. Once bytes have reached the caller, only the same stream may continue.
 */
internal fun Reduction.unclaimedAttemptEnded(
    active: ActiveRequest,
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    if (end is AttemptEnd.Completed) return completed(active, attempt, end)
    if (active.answerBegan && rules.deliveredBytesPreventRestart) return continueStream(active, attempt, end)
    measureWastedTokens(attempt, end)
    if (active.mayHaveRun && !active.request.isIdempotent) return refuse(active, Refusal.NonIdempotentInterrupted)
    val target = active.request.target.label
    val next = withoutUnreachedAttempt(active, attempt, end).copy(lastUpstream = attempt.upstream)
    when (end) {
        is AttemptEnd.Rejected -> {
            val retryAfter = end.retryAfterMilliseconds ?: DEFAULT_RETRY_AFTER_MILLISECONDS
            retryOrRefuse(next, charged = true, Refusal.Overloaded(retryAfter))
        }

        AttemptEnd.Expired -> refuse(next, Refusal.DeadlineExceeded(DEFAULT_RETRY_AFTER_MILLISECONDS))

        AttemptEnd.Misdirected ->
            retryOrRefuse(next, charged = true, Refusal.Overloaded(DEFAULT_RETRY_AFTER_MILLISECONDS))

        is AttemptEnd.Broken -> {
            val crashed = upstream(attempt.upstream)?.kind == UpstreamKind.ENGINE
            retryOrRefuse(next, charged = !crashed, Refusal.Interrupted)
        }

        is AttemptEnd.TimedOut ->
            if (end.phase == TimeoutPhase.CONNECT) {
                retryOrRefuse(next, charged = false, Refusal.NoUpstream(target))
            } else {
                retryOrRefuse(next, charged = true, Refusal.Interrupted)
            }

        is AttemptEnd.Cancelled -> retryOrRefuse(next, charged = true, Refusal.Interrupted)

        // An attempt that reached no upstream is no load there, so it is not charged to the retry budget.
        else -> retryOrRefuse(next, charged = false, Refusal.NoUpstream(target))
    }
}

/** An attempt that did not reach its upstream does not count towards the maximum attempts of the route. */
private fun Reduction.withoutUnreachedAttempt(
    active: ActiveRequest,
    attempt: RunningAttempt,
    end: AttemptEnd,
): ActiveRequest {
    if (active.request.retryPolicy == null || !reachedNoUpstream(end) && end !is AttemptEnd.Misdirected) return active
    return active.copy(
        attempts = active.attempts - 1,
        unreached = active.unreached + 1,
        unreachedTime = active.unreachedTime + now - attempt.startedAt,
    )
}

private fun reachedNoUpstream(end: AttemptEnd): Boolean =
    end is AttemptEnd.NotConnected || end is AttemptEnd.TimedOut && end.phase == TimeoutPhase.CONNECT

private fun Reduction.completed(
    active: ActiveRequest,
    attempt: RunningAttempt,
    end: AttemptEnd.Completed,
) {
    recordCompletion(active, attempt, end)
    val failed = end.status >= SERVER_ERROR_STATUS && active.request.retryPolicy != null
    if (failed && active.request.isIdempotent && retryObstacle(active, charged = true) == null) {
        explain(active.number, "got status ${end.status} from ${attempt.upstream}")
        return retryOrRefuse(active.copy(lastUpstream = attempt.upstream), charged = true, Refusal.Interrupted)
    }
    if (failed) emit(EntryEffect.ReleaseAnswer(active.number, recorded = true))
    finishUpstreamWork(active, end.tokens, complete = true)
    val answered =
        active.copy(
            phase = RequestPhase.Delivering,
            firstByteAt = active.firstByteAt ?: now,
            deliveredTokens = active.deliveredTokens + end.tokens,
        )
    update(answered)
    explain(active.number, "got the complete answer of attempt ${attempt.number} with status ${end.status}")
}

/** Counts a complete answer in the retry budget unless it is a server error, and measures cross-region bytes. */
internal fun Reduction.recordCompletion(
    active: ActiveRequest,
    attempt: RunningAttempt,
    end: AttemptEnd.Completed,
) {
    val target = active.request.target.label
    if (end.status < SERVER_ERROR_STATUS) state = state.copy(budget = state.budget.succeeded(target, now))
    val region = upstream(attempt.upstream)?.region ?: return
    if (region == settings.region) return
    val bytes = active.request.bodyBytes + end.bytes
    emit(EntryEffect.Measure(Measurement.CrossRegionBytes(active.request.organisation, bytes)))
}

/** Queues the request for another attempt. A [charged] retry uses the retry budget of the model or service. */
internal fun Reduction.retryOrRefuse(
    active: ActiveRequest,
    charged: Boolean,
    refusal: Refusal,
) {
    val target = active.request.target.label
    val obstacle = retryObstacle(active, charged)
    if (!mayRun(active.request)) {
        return refuse(active.copy(phase = RequestPhase.Queued), convicted(active.request))
    }
    if (obstacle != null) {
        recordRequestEvent(active, EntryDecisionEvent.RETRY_REFUSED, "reason" to obstacle)
        explain(active.number, "is not retried because $obstacle")
        return refuse(active.copy(phase = RequestPhase.Queued), refusal)
    }
    if (charged) state = state.copy(budget = state.budget.retried(target, now))
    explain(active.number, if (charged) "is retried" else "is retried without charge to the budget")
    enqueue(active)
}

private fun Reduction.retryObstacle(
    active: ActiveRequest,
    charged: Boolean,
): String? {
    val target = active.request.target.label
    val limit = active.request.retryPolicy?.maximumAttempts ?: ATTEMPTS_LIMIT
    return when {
        active.attempts >= limit -> "it had ${active.attempts} attempts"
        active.unreached >= UNREACHED_LIMIT || active.unreachedTime >= UNREACHED_TIME_LIMIT_MILLISECONDS ->
            "${active.unreached} upstreams could not be reached in ${active.unreachedTime} ms"
        charged && !state.budget.allows(target, now) -> "the retry budget of $target is used up"
        now >= (active.request.finishBy ?: Long.MAX_VALUE) -> "its deadline has passed"
        else -> null
    }
}

/** The caller already has part of the stream: it resumes there on the same engine, or it ends with an error. */
private fun Reduction.continueStream(
    active: ActiveRequest,
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    val bytes = active.deliveredBytes + bytesOf(attempt, end)
    val delivered =
        active.copy(
            deliveredBytes = bytes,
            deliveredTokens = active.deliveredTokens + tokensOf(attempt, end),
        )
    val policy = active.request.retryPolicy
    if (policy != null) return resumeOnAnyEngine(delivered, attempt, end, policy)
    val engine = upstream(attempt.upstream)
    if (engine == null || !mayResume(delivered, engine, end)) {
        return breakStream(delivered, "the upstream did not complete the answer")
    }
    if (end.chargesResume) state = state.copy(budget = state.budget.retried(active.request.target.label, now))
    explain(active.number, "resumes its stream on ${engine.name} after $bytes bytes")
    resumeAttempt(delivered, engine, ResumePoint(attempt.number, bytes))
}

/** On a route, any engine of the service may resume the stream after the last event that the caller has received. */
private fun Reduction.resumeOnAnyEngine(
    active: ActiveRequest,
    attempt: RunningAttempt,
    end: AttemptEnd,
    policy: RetryPolicy,
) {
    val next = withoutUnreachedAttempt(active, attempt, end)
    val charged = !reachedNoUpstream(end)
    val obstacle = if (policy.resumable) retryObstacle(next, charged) else "its route does not let it resume"
    if (obstacle != null) {
        recordRequestEvent(active, EntryDecisionEvent.RETRY_REFUSED, "reason" to obstacle)
        return breakStream(next, "the upstream did not complete the answer, and $obstacle")
    }
    if (charged) state = state.copy(budget = state.budget.retried(active.request.target.label, now))
    explain(active.number, "resumes its stream on any engine after ${active.deliveredBytes} bytes")
    enqueue(next.copy(lastUpstream = attempt.upstream, resume = ResumePoint(attempt.number, active.deliveredBytes)))
}

private fun Reduction.mayResume(
    active: ActiveRequest,
    engine: Upstream,
    end: AttemptEnd,
): Boolean {
    val interrupted = end is AttemptEnd.Broken || end is AttemptEnd.TimedOut && end.phase != TimeoutPhase.CONNECT
    return interrupted &&
        active.request.streamed &&
        engine.resumesStreams &&
        active.attempts < ATTEMPTS_LIMIT &&
        !isLeaving(engine) &&
        mayRun(active.request) &&
        (!end.chargesResume || state.budget.allows(active.request.target.label, now))
}

/**
 * Whether resuming uses the retry budget. A lost connection counts as a crash, which is not charged: an engine that
 * drops all its connections would otherwise end every stream beyond the budget. An engine that timed out may hang
 * again, so resuming there is charged.
 */
private val AttemptEnd.chargesResume: Boolean
    get() = this !is AttemptEnd.Broken

private fun bytesOf(
    attempt: RunningAttempt,
    end: AttemptEnd,
): Long =
    when (end) {
        is AttemptEnd.Broken -> maxOf(end.bytes, attempt.bytes)
        is AttemptEnd.TimedOut -> maxOf(end.bytes, attempt.bytes)
        else -> attempt.bytes
    }

// Three upstreams that accept no connection in time. One that refuses the connection takes only a round trip.
private const val UNREACHED_TIME_LIMIT_MILLISECONDS = 3_000L
private const val UNREACHED_LIMIT = 20

// Limits the work that one request causes when every upstream fails it immediately.
private const val ATTEMPTS_LIMIT = 5
private const val SERVER_ERROR_STATUS = 500
