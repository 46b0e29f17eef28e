package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CancelReason
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Measurement
import hawthorncrank.entry.core.RequestResult
import hawthorncrank.entry.core.TimeoutPhase
import hawthorncrank.protocol.UpstreamKind

/**
 * Handles the first byte of an attempt. In this and all other reports of the traffic threads, only the current attempt
 * of a request affects its caller. Tokens that any other attempt generated are counted as wasted.
 */
internal fun Reduction.attemptFirstByte(
    attemptNumber: Long,
    failed: Boolean,
    accepted: Boolean = true,
) {
    val attempt = state.attempts.running[attemptNumber] ?: return
    if (attempt.relayed) return relayBegan(attempt)
    heardFromUpstream()
    if (accepted) usageBegan(attempt)
    updateAttempt(attempt.copy(firstByteAt = attempt.firstByteAt ?: now))
    if (failed) upstreamFailed(attempt)
    state = state.copy(router = state.router.firstTokenReceived(attempt.requestNumber, now))
    val active = currentRequest(attempt) ?: return staleFirstByte(attempt)
    if (!failed) contentsBegan(active.request)
    val began = active.copy(firstByteAt = active.firstByteAt ?: now)
    update(if (failed) began else streamBegan(began, attempt))
    updateProgress(attempt, active)
}

internal fun Reduction.attemptProgress(
    attemptNumber: Long,
    tokens: Int,
    bytes: Long,
) {
    val attempt = state.attempts.running[attemptNumber] ?: return
    val next = attempt.copy(tokens = tokens, bytes = bytes, firstByteAt = attempt.firstByteAt ?: now)
    updateAttempt(next)
    if (attempt.relayed) return
    heardFromUpstream()
    val active = currentRequest(attempt) ?: return
    update(active.copy(firstByteAt = active.firstByteAt ?: now))
    updateProgress(next, active)
}

/**
 * Handles a first byte that reached the caller before the cancellation of its attempt reached the traffic threads. No
 * bytes of another attempt may follow it, so the request ends with an error.
 */
private fun Reduction.staleFirstByte(attempt: RunningAttempt) {
    val active = state.requests.active[attempt.requestNumber] ?: return
    if (active.grantedClaim != null || active.phase == RequestPhase.Delivering) return
    currentAttempt(active)?.let { cancelAttempt(it, CancelReason.SUPERSEDED) }
    breakStream(active, "its attempt ${attempt.number} was cancelled while its answer began to arrive")
}

internal fun Reduction.attemptEnded(
    attemptNumber: Long,
    end: AttemptEnd,
) {
    val attempt = state.attempts.running[attemptNumber] ?: return
    if (attempt.relayed) return relayEnded(attempt, end)
    usageEnded(attempt, end)
    val active = currentRequest(attempt)
    state = state.copy(attempts = state.attempts.copy(running = state.attempts.running.remove(attemptNumber)))
    warmUpAttemptFailed(attempt, end)
    removeFromUpstreamLoad(attempt, end)
    if (end is AttemptEnd.Rejected) holdOff(attempt.upstream, end)
    // If an attempt was cancelled or its caller left, only a complete answer is evidence about its upstream.
    val abandoned = attempt.cancelled != null || active?.callerLeft == true
    if (!abandoned || end is AttemptEnd.Completed) updateUpstreamHealth(attempt, active, end)
    val stillCurrent = active?.let { state.requests.active[it.number] }
    val stale = stillCurrent == null || currentAttempt(stillCurrent) != attemptNumber
    if (stillCurrent == null || stale && rules.staleAttemptsAreDiscarded) return measureWastedTokens(attempt, end)
    recordAttemptEnd(stillCurrent, attempt, end)
    if (end !is AttemptEnd.Completed) {
        explain(stillCurrent.number, "lost attempt $attemptNumber on ${attempt.upstream}: ${describe(end)}")
    }
    val claim = stillCurrent.grantedClaim
    val notStarted = certainlyNotStarted(end)
    val next = stillCurrent.copy(mayHaveRun = stillCurrent.mayHaveRun || !notStarted)
    when {
        notStarted && stillCurrent.callerLeft -> {
            giveUpClaim(stillCurrent)
            finish(stillCurrent, RequestResult.CALLER_LEFT)
        }

        claim == null -> unclaimedAttemptEnded(next, attempt, end)
        // The claim counts as not dispatched as long as the upstream provably did not start the call.
        notStarted -> claimedAttemptEnded(stillCurrent.copy(phase = RequestPhase.Queued), claim, attempt, end)
        else -> claimedAttemptEnded(next, claim, attempt, end)
    }
}

internal fun certainlyNotStarted(end: AttemptEnd): Boolean =
    end is AttemptEnd.NotConnected ||
        end is AttemptEnd.Rejected ||
        end is AttemptEnd.Expired ||
        end is AttemptEnd.Misdirected ||
        end is AttemptEnd.TimedOut && end.phase == TimeoutPhase.CONNECT

private fun Reduction.recordAttemptEnd(
    active: ActiveRequest,
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    val ended = attempt.copy(tokens = tokensOf(attempt, end))
    if (end !is AttemptEnd.Completed) {
        val parts = "parts" to active.request.sharedParts.joinToString(",")
        return recordAttempt(active, ended, EntryDecisionEvent.ATTEMPT_FAILED, describe(end), parts)
    }
    if (active.request.retryPolicy == null) return
    recordAttempt(active, ended, EntryDecisionEvent.ATTEMPT_COMPLETED, describe(end))
}

/** Logs how long the attempt waited for its answer to begin and what it produced until now. */
private fun Reduction.recordAttempt(
    active: ActiveRequest,
    attempt: RunningAttempt,
    event: EntryDecisionEvent,
    end: String,
    vararg fields: Pair<String, Any?>,
) = recordRequestEvent(
    active,
    event,
    "attempt" to attempt.number,
    "upstream" to attempt.upstream,
    "end" to end,
    "after" to now - attempt.startedAt,
    "began" to (attempt.firstByteAt != null),
    "first_byte_after" to attempt.firstByteAt?.let { it - attempt.startedAt },
    "tokens" to attempt.tokens,
    *fields,
)

internal fun describe(end: AttemptEnd): String =
    when (end) {
        is AttemptEnd.Completed -> "it answered with status ${end.status}"
        AttemptEnd.NotConnected -> "no connection could be opened"
        is AttemptEnd.Rejected -> "the upstream rejected it before running it"
        AttemptEnd.Expired -> "its deadline passed before it was sent"
        AttemptEnd.Misdirected -> "another upstream answered at the address"
        is AttemptEnd.Broken -> "the connection broke after ${end.bytes} bytes"
        is AttemptEnd.TimedOut -> "it timed out (${end.phase.name.lowercase().replace('_', ' ')})"
        is AttemptEnd.Cancelled -> "it was cancelled"
    }

/** Updates what is known about the upstream's health from the end of an attempt. */
private fun Reduction.updateUpstreamHealth(
    attempt: RunningAttempt,
    active: ActiveRequest?,
    end: AttemptEnd,
) {
    val name = attempt.upstream
    when (end) {
        AttemptEnd.NotConnected -> connectFailed(name, attempt.startedAt)

        is AttemptEnd.TimedOut ->
            if (end.phase == TimeoutPhase.CONNECT) {
                connectFailed(name, attempt.startedAt)
            } else {
                exclude(name, "it timed out")
            }

        is AttemptEnd.Broken ->
            when {
                !settings.behaviour.brokenConnectionIsCrash -> {
                    answerLost(name)
                    connectionBroken(attempt, active)
                }
                upstream(name)?.kind == UpstreamKind.ENGINE -> engineCrashed(attempt)
            }

        is AttemptEnd.Completed -> {
            heardFromUpstream()
            upstreamAnswered(name)
            if (attempt.suspect) clearSuspicion(attempt.contentDigest)
        }

        is AttemptEnd.Rejected -> {
            heardFromUpstream()
            upstreamAnswered(name)
        }

        AttemptEnd.Misdirected -> addressTaken(name)

        is AttemptEnd.Cancelled, AttemptEnd.Expired -> Unit
    }
}

internal fun Reduction.measureWastedTokens(
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    val tokens = tokensOf(attempt, end)
    if (tokens == 0) return
    emit(EntryEffect.Measure(Measurement.TokensWasted(attempt.className, tokens, attempt.cancelled?.reason)))
}

internal fun tokensOf(
    attempt: RunningAttempt,
    end: AttemptEnd,
): Int =
    when (end) {
        is AttemptEnd.Completed -> end.tokens
        is AttemptEnd.Broken -> maxOf(end.tokens, attempt.tokens)
        is AttemptEnd.TimedOut -> maxOf(end.tokens, attempt.tokens)
        is AttemptEnd.Cancelled -> maxOf(end.tokens, attempt.tokens)
        else -> attempt.tokens
    }

/**
 * Cancels an attempt. Crash detection counts it as in flight until the traffic threads report its end. [routed] is
 * false if the scheduler preempted it, because the router has already removed it then.
 */
internal fun Reduction.cancelAttempt(
    attemptNumber: Long,
    reason: CancelReason,
    routed: Boolean = true,
) {
    val attempt = state.attempts.running[attemptNumber] ?: return
    if (attempt.cancelled != null) return
    updateAttempt(attempt.copy(cancelled = Cancellation(reason, now)))
    state.requests.active[attempt.requestNumber]?.let { active ->
        recordAttempt(active, attempt, EntryDecisionEvent.ATTEMPT_CANCELLED, reason.name.lowercase())
    }
    val loadsUpstream = routed && !attempt.relayed
    if (loadsUpstream) state = state.copy(router = state.router.attemptEnded(attempt.requestNumber, attempt.bytes))
    emit(EntryEffect.CancelAttempt(attemptNumber, reason))
}

/** Removes cancelled attempts whose end was never reported, so that a lost report does not hold a slot for ever. */
internal fun Reduction.attemptsTick() {
    state.attempts.running.values
        .filter { attempt -> attempt.cancelled?.let { now - it.at >= CANCELLED_RETENTION_MILLISECONDS } == true }
        .forEach { attemptEnded(it.number, AttemptEnd.Cancelled(it.tokens)) }
}

internal fun Reduction.currentRequest(attempt: RunningAttempt): ActiveRequest? {
    val active = state.requests.active[attempt.requestNumber] ?: return null
    val current = attempt.cancelled == null && currentAttempt(active) == attempt.number
    return active.takeIf { current || !rules.staleAttemptsAreDiscarded }
}

private fun currentAttempt(active: ActiveRequest): Long? = (active.phase as? RequestPhase.Running)?.attemptNumber

internal fun Reduction.updateAttempt(attempt: RunningAttempt) {
    state = state.copy(attempts = state.attempts.copy(running = state.attempts.running.put(attempt.number, attempt)))
}

private const val CANCELLED_RETENTION_MILLISECONDS = 30_000L
