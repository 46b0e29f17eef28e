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
 * What follows the end of an idempotent attempt: the answer, another attempt, a resumed stream or an error. Once bytes
 * have reached the caller, nothing but the same stream may follow them.
 */
internal fun Reduction.unclaimedAttemptEnded(
    active: ActiveRequest,
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    if (end is AttemptEnd.Completed) return completed(active, attempt, end)
    if (active.answerBegan && rules.deliveredBytesForbidRestart) return continueStream(active, attempt, end)
    wasted(attempt, end)
    if (active.mayHaveRun && !active.request.isIdempotent) return refuse(active, Refusal.NonIdempotentInterrupted)
    val target = active.request.target.label
    val next = uncounted(active, end).copy(lastUpstream = attempt.upstream)
    when (end) {
        is AttemptEnd.Rejected -> {
            val retryAfter = end.retryAfterMilliseconds ?: DEFAULT_RETRY_AFTER_MILLISECONDS
            retryOrRefuse(next, charged = true, Refusal.Overloaded(retryAfter))
        }

        is AttemptEnd.Broken -> {
            val crashed = upstream(attempt.upstream)?.kind == UpstreamKind.ENGINE
            retryOrRefuse(next, charged = !crashed, Refusal.Interrupted)
        }

        is AttemptEnd.TimedOut ->
            if (end.phase == TimeoutPhase.CONNECT) {
                retryOrRefuse(next, charged = true, Refusal.NoUpstream(target))
            } else {
                retryOrRefuse(next, charged = true, Refusal.Interrupted)
            }

        is AttemptEnd.Cancelled -> retryOrRefuse(next, charged = true, Refusal.Interrupted)

        else -> retryOrRefuse(next, charged = true, Refusal.NoUpstream(target))
    }
}

/** An attempt that reached no upstream does not count towards those to which the route lets the request be sent. */
private fun uncounted(
    active: ActiveRequest,
    end: AttemptEnd,
): ActiveRequest {
    val unreached = end is AttemptEnd.NotConnected || end is AttemptEnd.TimedOut && end.phase == TimeoutPhase.CONNECT
    if (active.request.retryPolicy == null || !unreached) return active
    return active.copy(attempts = active.attempts - 1, unreached = active.unreached + 1)
}

private fun Reduction.completed(
    active: ActiveRequest,
    attempt: RunningAttempt,
    end: AttemptEnd.Completed,
) {
    noteSuccess(active, attempt, end)
    val failed = end.status >= SERVER_ERROR_STATUS && active.request.retryPolicy != null
    if (failed && active.request.isIdempotent && retryObstacle(active, charged = true) == null) {
        explain(active.number, "got status ${end.status} from ${attempt.upstream}")
        return retryOrRefuse(active.copy(lastUpstream = attempt.upstream), charged = true, Refusal.Interrupted)
    }
    if (failed) emit(EntryEffect.ReleaseAnswer(active.number, recorded = true))
    leaveUpstream(active, end.tokens, whole = true)
    val answered =
        active.copy(
            phase = RequestPhase.Delivering,
            firstByteAt = active.firstByteAt ?: now,
            deliveredTokens = active.deliveredTokens + end.tokens,
        )
    update(answered)
    explain(active.number, "got the whole answer of attempt ${attempt.number} with status ${end.status}")
}

internal fun Reduction.noteSuccess(
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

/** Queues the request for another attempt. [charged] retries come out of the budget of the model or service. */
internal fun Reduction.retryOrRefuse(
    active: ActiveRequest,
    charged: Boolean,
    refusal: Refusal,
) {
    val target = active.request.target.label
    val obstacle = retryObstacle(active, charged)
    if (!mayRun(active.request.contentDigest)) {
        return refuse(active.copy(phase = RequestPhase.Queued), Refusal.Convicted(active.request.contentDigest))
    }
    if (obstacle != null) {
        recordOf(active, EntryDecisionEvent.RETRY_REFUSED, "reason" to obstacle)
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
        active.unreached >= UNREACHED_LIMIT -> "${active.unreached} upstreams could not be reached"
        charged && !state.budget.allows(target, now) -> "the retry budget of $target is used up"
        now >= (active.request.finishBy ?: Long.MAX_VALUE) -> "its time is over"
        else -> null
    }
}

/** Bytes are at the caller: the same stream goes on from there on the same engine, or it ends with an error. */
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
    val rule = active.request.retryPolicy
    if (rule != null) return resumeElsewhere(delivered, attempt, end, rule)
    val engine = upstream(attempt.upstream)
    if (engine == null || !mayResume(delivered, engine, end)) {
        return breakStream(delivered, "the upstream broke off the answer")
    }
    if (end.chargesResume) state = state.copy(budget = state.budget.retried(active.request.target.label, now))
    explain(active.number, "resumes its stream on ${engine.name} after $bytes bytes")
    resumeAttempt(delivered, engine, ResumePoint(attempt.number, bytes))
}

/** On a route, any engine of the service may go on behind the last event that the caller has. */
private fun Reduction.resumeElsewhere(
    active: ActiveRequest,
    attempt: RunningAttempt,
    end: AttemptEnd,
    rule: RetryPolicy,
) {
    val next = uncounted(active, end)
    val obstacle = if (rule.resumable) retryObstacle(next, charged = true) else "its route does not let it resume"
    if (obstacle != null) {
        recordOf(active, EntryDecisionEvent.RETRY_REFUSED, "reason" to obstacle)
        return breakStream(next, "the upstream broke off the answer, and $obstacle")
    }
    state = state.copy(budget = state.budget.retried(active.request.target.label, now))
    explain(active.number, "resumes its stream elsewhere after ${active.deliveredBytes} bytes")
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
        mayRun(active.request.contentDigest) &&
        (!end.chargesResume || state.budget.allows(active.request.target.label, now))
}

/**
 * A lost connection is a crash, whose innocent requests are not charged: an engine that drops all its connections would
 * otherwise cut off every stream beyond the budget. A silent engine may hang again, so resuming there is charged.
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

// Upstreams that cannot be reached cost a request its time, a second each at worst.
private const val UNREACHED_LIMIT = 3

// Bounds the work that one request can cause when every upstream fails it at once.
private const val ATTEMPTS_LIMIT = 5
private const val SERVER_ERROR_STATUS = 500
