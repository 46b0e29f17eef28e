package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.core.RequestResult
import hawthorncrank.entry.core.TimeoutPhase
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.EntryToControl

/**
 * Handles the end of a call that was sent under a claim. The outcome is recorded before the caller gets the answer;
 * after 2 s the answer is sent with its record pending. The outcome of an interrupted call is recorded as unknown.
 */
internal fun Reduction.claimedAttemptEnded(
    active: ActiveRequest,
    claim: GrantedClaim,
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    when {
        end is AttemptEnd.Completed -> {
            recordCompletion(active, attempt, end)
            recordOutcome(active, claim, end.answer ?: CallOutcome.Answered(end.status, "", null, ""))
        }

        end is AttemptEnd.NotConnected || end is AttemptEnd.TimedOut && end.phase == TimeoutPhase.CONNECT ->
            // No byte left this process, so the call is still not dispatched.
            retryOrRefuse(
                active.copy(lastUpstream = attempt.upstream),
                charged = true,
                Refusal.NoUpstream(active.request.target.label),
            )

        end is AttemptEnd.Rejected -> {
            explain(active.number, "was rejected by the upstream before it ran")
            refuse(active, Refusal.Overloaded(end.retryAfterMilliseconds ?: DEFAULT_RETRY_AFTER_MILLISECONDS))
        }

        end is AttemptEnd.Expired -> refuse(active, Refusal.DeadlineExceeded(DEFAULT_RETRY_AFTER_MILLISECONDS))

        end is AttemptEnd.Misdirected -> {
            explain(active.number, "reached another upstream, which did not run it")
            refuse(active, Refusal.Overloaded(DEFAULT_RETRY_AFTER_MILLISECONDS))
        }

        !rules.claimedCallsRunOnce -> enqueue(active)

        else -> {
            record(EntryDecisionEvent.OUTCOME_UNKNOWN, "request" to active.number, "claim" to claim.claimNumber)
            recordOutcome(active, claim, CallOutcome.Unknown)
        }
    }
}

private fun Reduction.recordOutcome(
    active: ActiveRequest,
    claim: GrantedClaim,
    outcome: CallOutcome,
) {
    finishUpstreamWork(active, tokens = 0, complete = false)
    val number = claim.claimNumber
    val pending = PendingOutcome(claim.key, outcome, active.number, sentAt = now)
    claims { it.copy(pendingOutcomes = it.pendingOutcomes.put(number, pending)) }
    explain(active.number, "has the outcome ${describe(outcome)}, which control is asked to record")
    if (state.controlLink.open) {
        emit(EntryEffect.SendToControl(EntryToControl.OutcomeRecord(claim.key, number, outcome)))
    }
    if (active.callerLeft) return finish(active, RequestResult.CALLER_LEFT)
    update(active.copy(phase = RequestPhase.Recording(number, now, outcome is CallOutcome.Answered)))
}

private fun describe(outcome: CallOutcome): String =
    when (outcome) {
        is CallOutcome.Answered -> "\"answered with status ${outcome.status}\""
        CallOutcome.Unknown -> "\"unknown\""
    }

internal fun Reduction.outcomeRecorded(claimNumber: Long) {
    val pending = state.claims.pendingOutcomes[claimNumber] ?: return
    claims { it.copy(pendingOutcomes = it.pendingOutcomes.remove(claimNumber)) }
    val active = state.requests.active[pending.requestNumber] ?: return
    val phase = active.phase
    if (phase is RequestPhase.Recording && phase.claimNumber == claimNumber) release(active, phase, recorded = true)
}

internal fun Reduction.releaseOverdueAnswers() {
    state.requests.active.values.forEach { active ->
        val phase = active.phase
        if (phase is RequestPhase.Recording && now - phase.since >= RECORD_WAIT_MILLISECONDS) {
            record(EntryDecisionEvent.OUTCOME_PENDING, "request" to active.number, "claim" to phase.claimNumber)
            release(active, phase, recorded = false)
        }
    }
}

private fun Reduction.release(
    active: ActiveRequest,
    phase: RequestPhase.Recording,
    recorded: Boolean,
) {
    explain(active.number, if (recorded) "has its outcome recorded" else "is answered with its record pending")
    if (!phase.answered) return refuse(active, Refusal.OutcomeUnknown(phase.claimNumber))
    emit(EntryEffect.ReleaseAnswer(active.number, recorded))
    update(active.copy(phase = RequestPhase.Delivering))
}

private const val RECORD_WAIT_MILLISECONDS = 2_000L
internal const val DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000L
