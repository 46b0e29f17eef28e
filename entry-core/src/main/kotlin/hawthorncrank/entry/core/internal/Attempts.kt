package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CancelReason
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Measurement
import hawthorncrank.entry.core.RequestResult
import hawthorncrank.entry.core.TimeoutPhase
import hawthorncrank.protocol.UpstreamKind

/**
 * What the traffic threads report on attempts. Only the attempt that a request currently runs on decides anything for
 * its caller; reports on any other are counted as wasted work.
 */
internal fun Reduction.attemptFirstByte(attemptNumber: Long) {
    val attempt = state.attempts.running[attemptNumber] ?: return
    updateAttempt(attempt.copy(firstByteAt = attempt.firstByteAt ?: now))
    state = state.copy(router = state.router.firstTokenReceived(attempt.requestNumber))
    val active = currentRequest(attempt) ?: return staleBytes(attempt)
    update(active.copy(firstByteAt = active.firstByteAt ?: now))
    noteProgress(attempt, active)
}

internal fun Reduction.attemptProgress(
    attemptNumber: Long,
    tokens: Int,
    bytes: Long,
) {
    val attempt = state.attempts.running[attemptNumber] ?: return
    val next = attempt.copy(tokens = tokens, bytes = bytes, firstByteAt = attempt.firstByteAt ?: now)
    updateAttempt(next)
    val active = currentRequest(attempt) ?: return
    update(active.copy(firstByteAt = active.firstByteAt ?: now))
    noteProgress(next, active)
}

/**
 * The first byte of an attempt reached the caller before its cancellation reached the traffic threads. Nothing of
 * another attempt may follow it.
 */
private fun Reduction.staleBytes(attempt: RunningAttempt) {
    val active = state.requests.active[attempt.requestNumber] ?: return
    if (active.grantedClaim != null || active.phase == RequestPhase.Delivering) return
    currentAttempt(active)?.let { cancelAttempt(it, CancelReason.SUPERSEDED) }
    breakStream(active, "its attempt ${attempt.number} was cancelled as its answer began")
}

internal fun Reduction.attemptEnded(
    attemptNumber: Long,
    end: AttemptEnd,
) {
    val attempt = state.attempts.running[attemptNumber] ?: return
    val active = currentRequest(attempt)
    state = state.copy(attempts = state.attempts.copy(running = state.attempts.running.remove(attemptNumber)))
    attemptReleased(attempt, end)
    // The end of an attempt that was given up says nothing about its upstream.
    val abandoned = attempt.cancelled != null || active?.callerLeft == true
    if (!abandoned || end is AttemptEnd.Completed) observeEnd(attempt, end)
    val stillCurrent = active?.let { state.requests.active[it.number] }
    val stale = stillCurrent == null || currentAttempt(stillCurrent) != attemptNumber
    if (stillCurrent == null || stale && rules.staleAttemptsAreDiscarded) return wasted(attempt, end)
    if (end !is AttemptEnd.Completed) {
        recordOf(
            stillCurrent,
            EntryDecisionEvent.ATTEMPT_FAILED,
            "attempt" to attemptNumber,
            "upstream" to attempt.upstream,
            "end" to describe(end),
            "after" to now - attempt.startedAt,
        )
        explain(stillCurrent.number, "lost attempt $attemptNumber on ${attempt.upstream}: ${describe(end)}")
    }
    val claim = stillCurrent.grantedClaim
    val provedNotBegun = provesNotBegun(end)
    val next = stillCurrent.copy(mayHaveRun = stillCurrent.mayHaveRun || !provedNotBegun)
    when {
        provedNotBegun && stillCurrent.callerLeft -> {
            giveUpClaim(stillCurrent)
            finish(stillCurrent, RequestResult.CALLER_LEFT)
        }

        claim == null -> unclaimedAttemptEnded(next, attempt, end)
        // The claim is undispatched as long as the upstream provably did not begin.
        provedNotBegun -> claimedAttemptEnded(stillCurrent.copy(phase = RequestPhase.Queued), claim, attempt, end)
        else -> claimedAttemptEnded(next, claim, attempt, end)
    }
}

internal fun provesNotBegun(end: AttemptEnd): Boolean =
    end is AttemptEnd.NotConnected ||
        end is AttemptEnd.Rejected ||
        end is AttemptEnd.TimedOut && end.phase == TimeoutPhase.CONNECT

private fun describe(end: AttemptEnd): String =
    when (end) {
        is AttemptEnd.Completed -> "it answered with status ${end.status}"
        AttemptEnd.NotConnected -> "it could not be connected"
        is AttemptEnd.Rejected -> "the upstream refused to begin"
        is AttemptEnd.Broken -> "the connection broke after ${end.bytes} bytes"
        is AttemptEnd.TimedOut -> "it was silent too long (${end.phase.name.lowercase().replace('_', ' ')})"
        is AttemptEnd.Cancelled -> "it was cancelled"
    }

/** What the end of an attempt says about its upstream. */
private fun Reduction.observeEnd(
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    val name = attempt.upstream
    when (end) {
        AttemptEnd.NotConnected -> connectFailed(name)

        is AttemptEnd.TimedOut ->
            if (end.phase == TimeoutPhase.CONNECT) connectFailed(name) else exclude(name, "it was silent")

        is AttemptEnd.Broken ->
            when {
                !settings.behaviour.brokenConnectionIsCrash -> answerLost(name)
                upstream(name)?.kind == UpstreamKind.ENGINE -> engineLost(attempt)
            }

        is AttemptEnd.Completed -> {
            upstreamAnswered(name)
            if (attempt.suspect) finishedAlone(attempt.contentDigest)
        }

        is AttemptEnd.Rejected -> upstreamAnswered(name)

        is AttemptEnd.Cancelled -> Unit
    }
}

internal fun Reduction.wasted(
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
 * Stops an attempt. It counts as in flight for crashes until the traffic threads report its end. The router has
 * forgotten it already when the scheduler preempted it; otherwise [routed] is set.
 */
internal fun Reduction.cancelAttempt(
    attemptNumber: Long,
    reason: CancelReason,
    routed: Boolean = true,
) {
    val attempt = state.attempts.running[attemptNumber] ?: return
    if (attempt.cancelled != null) return
    updateAttempt(attempt.copy(cancelled = Cancellation(reason, now)))
    if (routed) state = state.copy(router = state.router.attemptEnded(attempt.requestNumber, attempt.bytes))
    emit(EntryEffect.CancelAttempt(attemptNumber, reason))
}

/** Forgets cancelled attempts whose end was never reported, so that a lost report holds no slot for ever. */
internal fun Reduction.attemptsTick() {
    state.attempts.running.values
        .filter { attempt -> attempt.cancelled?.let { now - it.at >= CANCELLED_KEPT_MILLISECONDS } == true }
        .forEach { attemptEnded(it.number, AttemptEnd.Cancelled(it.tokens)) }
}

private fun Reduction.currentRequest(attempt: RunningAttempt): ActiveRequest? {
    val active = state.requests.active[attempt.requestNumber] ?: return null
    val current = attempt.cancelled == null && currentAttempt(active) == attempt.number
    return active.takeIf { current || !rules.staleAttemptsAreDiscarded }
}

private fun currentAttempt(active: ActiveRequest): Long? = (active.phase as? RequestPhase.Running)?.attemptNumber

internal fun Reduction.updateAttempt(attempt: RunningAttempt) {
    state = state.copy(attempts = state.attempts.copy(running = state.attempts.running.put(attempt.number, attempt)))
}

private const val CANCELLED_KEPT_MILLISECONDS = 30_000L
