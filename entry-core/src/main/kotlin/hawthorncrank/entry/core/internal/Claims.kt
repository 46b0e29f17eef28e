package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl

/**
 * Requests a claim for a non-idempotent call. The call is queued only once its claim is granted. A call whose claim was
 * given up is never dispatched, and the abandonment is resent until control acknowledges it.
 */
internal fun Reduction.requestClaim(active: ActiveRequest) {
    val request = active.request
    if (state.claims.full) return refuse(active, Refusal.ControlUnavailable)
    val sequence = state.claims.nextSequence
    // The seed is different at every start of the process, so identifiers are never reused.
    val identifier = "${settings.name}-${settings.randomSeed.toULong().toString(radix = 36)}-$sequence"
    val key = ClaimKey(request.organisation, idempotencyKey(request))
    val requested = RequestedClaim(request.number, key, request.contentDigest, now, sends = 0)
    claims { it.copy(nextSequence = sequence + 1, requested = it.requested.put(identifier, requested)) }
    update(active.copy(phase = RequestPhase.Claiming(identifier)))
    explain(request.number, "requested a claim on its idempotency key from control")
    if (state.controlLink.open) sendClaim(identifier, requested)
    if (!rules.claimsPrecedeDispatch) {
        val ungranted = GrantedClaim(key, identifier, -sequence)
        enqueue(
            state.requests.active
                .getValue(request.number)
                .copy(grantedClaim = ungranted),
        )
    }
}

internal fun idempotencyKey(request: CallerRequest): String =
    (request.target as? RequestTarget.Service)?.idempotencyKey.orEmpty()

private fun Reduction.sendClaim(
    identifier: String,
    requested: RequestedClaim,
) {
    claims { it.copy(requested = it.requested.put(identifier, requested.copy(sends = requested.sends + 1))) }
    emit(
        EntryEffect.SendToControl(
            EntryToControl.ClaimRequest(requested.key, requested.requestDigest, identifier, settings.name),
        ),
    )
}

internal fun Reduction.claimAnswered(answer: ControlToEntry.ClaimAnswer) {
    val identifier = answer.attemptIdentifier
    val requested = state.claims.requested[identifier] ?: return lateClaimAnswer(answer)
    claims { it.copy(requested = it.requested.remove(identifier)) }
    val active = state.requests.active[requested.requestNumber] ?: return
    val decision = answer.decision
    if (decision is ClaimDecision.Granted) {
        explain(active.number, "was granted claim ${decision.claimNumber}")
        return enqueue(active.copy(grantedClaim = GrantedClaim(requested.key, identifier, decision.claimNumber)))
    }
    // A resent claim request may still be granted after another holder gave up, and no call would use that claim.
    if (decision == ClaimDecision.Unavailable || requested.sends > 1) abandon(identifier, requested.key)
    when (decision) {
        is ClaimDecision.HeldByOther -> refuse(active, Refusal.StillRunning)
        ClaimDecision.DigestMismatch -> refuse(active, Refusal.IdempotencyKeyReused)
        is ClaimDecision.OutcomeUnknown -> refuse(active, Refusal.OutcomeUnknown(decision.claimNumber))
        is ClaimDecision.Finished -> replay(active, decision.outcome)
        else -> claimUnavailable(active)
    }
}

private fun Reduction.lateClaimAnswer(answer: ControlToEntry.ClaimAnswer) {
    val granted = answer.decision is ClaimDecision.Granted
    if (!granted || answer.attemptIdentifier !in state.claims.abandoned) return
    abandon(answer.attemptIdentifier, answer.key)
}

private fun Reduction.replay(
    active: ActiveRequest,
    outcome: CallOutcome,
) {
    when (outcome) {
        is CallOutcome.Answered -> {
            explain(active.number, "got the recorded answer of the first call with its key")
            emit(EntryEffect.ReplayAnswer(active.number, outcome.status, outcome.contentType, outcome.body))
            finishReplayed(active)
        }

        // The record of an interrupted call has no claim number here; with 0 the key's history must be checked.
        CallOutcome.Unknown -> refuse(active, Refusal.OutcomeUnknown(claimNumber = 0))
    }
}

private fun Reduction.claimUnavailable(active: ActiveRequest) {
    record(EntryDecisionEvent.CLAIM_UNAVAILABLE, "request" to active.number)
    refuse(active, Refusal.ControlUnavailable)
}

/** Gives up the claim that the request holds or has requested. Only called while the call is not dispatched. */
internal fun Reduction.giveUpClaim(active: ActiveRequest) {
    val phase = active.phase
    if (phase is RequestPhase.Claiming) {
        val requested = state.claims.requested[phase.attemptIdentifier] ?: return
        claims { it.copy(requested = it.requested.remove(phase.attemptIdentifier)) }
        if (requested.sends > 0) abandon(phase.attemptIdentifier, requested.key)
        return
    }
    active.grantedClaim?.let { abandon(it.attemptIdentifier, it.key) }
}

private fun Reduction.abandon(
    identifier: String,
    key: ClaimKey,
) {
    if (identifier in state.claims.abandons) return
    claims {
        it.copy(
            abandons = it.abandons.put(identifier, PendingAbandon(key, now)),
            abandoned = it.abandoned.put(identifier, key),
        )
    }
    record(EntryDecisionEvent.CLAIM_ABANDONED, "attempt" to identifier)
    if (state.controlLink.open) emit(EntryEffect.SendToControl(EntryToControl.ClaimAbandon(key, identifier)))
}

internal fun Reduction.claimAbandoned(attemptIdentifier: String) {
    claims { it.copy(abandons = it.abandons.remove(attemptIdentifier)) }
}

/** Resends everything that waits for an answer, because a new link may lead to another replica. */
internal fun Reduction.resendClaims() {
    state.claims.requested.forEach { (identifier, requested) -> sendClaim(identifier, requested) }
    resendRecords(dueBefore = now)
}

internal fun Reduction.claimsTick() {
    state.claims.requested.values
        .filter { now - it.requestedAt >= CLAIM_WAIT_MILLISECONDS }
        .forEach { requested ->
            val active = state.requests.active[requested.requestNumber] ?: return@forEach
            explain(active.number, "waited ${now - requested.requestedAt} ms for its claim, which was not granted")
            claimUnavailable(active)
        }
    releaseOverdueAnswers()
    if (state.controlLink.open) resendRecords(dueBefore = now - RESEND_INTERVAL_MILLISECONDS)
}

private fun Reduction.resendRecords(dueBefore: Long) {
    val dueOutcomes =
        state.claims.outcomes
            .filterValues { it.sentAt <= dueBefore }
            .entries
            .take(RESENDS_AT_ONCE)
    dueOutcomes.forEach { (number, pending) ->
        claims { it.copy(outcomes = it.outcomes.put(number, pending.copy(sentAt = now))) }
        emit(EntryEffect.SendToControl(EntryToControl.OutcomeRecord(pending.key, number, pending.outcome)))
    }
    val dueAbandons =
        state.claims.abandons
            .filterValues { it.sentAt <= dueBefore }
            .entries
            .take(RESENDS_AT_ONCE)
    dueAbandons.forEach { (identifier, pending) ->
        claims { it.copy(abandons = it.abandons.put(identifier, pending.copy(sentAt = now))) }
        emit(EntryEffect.SendToControl(EntryToControl.ClaimAbandon(pending.key, identifier)))
    }
}

internal fun Reduction.claims(change: (ClaimsState) -> ClaimsState) {
    state = state.copy(claims = change(state.claims))
}

// A first election round lasts up to 3 s, and the claim needs a round trip after it.
private const val CLAIM_WAIT_MILLISECONDS = 4_000L
private const val RESEND_INTERVAL_MILLISECONDS = 1_000L
private const val RESENDS_AT_ONCE = 50
