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
 * Claims on non-idempotent calls before dispatch. A call is queued only once its claim is granted. A claim that is
 * given up is never dispatched and is abandoned until control acknowledges it.
 */
internal fun Reduction.askForClaim(active: ActiveRequest) {
    val request = active.request
    if (state.claims.full) return refuse(active, Refusal.ControlUnavailable)
    val sequence = state.claims.nextSequence
    // The seed differs with every start of the process, so identifiers never repeat.
    val identifier = "${settings.name}-${settings.randomSeed.toULong().toString(radix = 36)}-$sequence"
    val key = ClaimKey(request.organisation, idempotencyKey(request))
    val asked = AskedClaim(request.number, key, request.contentDigest, now, sends = 0)
    claims { it.copy(nextSequence = sequence + 1, asked = it.asked.put(identifier, asked)) }
    update(active.copy(phase = RequestPhase.Claiming(identifier)))
    explain(request.number, "asked control for the claim on its idempotency key")
    if (state.controlLink.open) sendClaim(identifier, asked)
    if (!rules.claimsPrecedeDispatch) {
        val unproved = GrantedClaim(key, identifier, -sequence)
        enqueue(
            state.requests.active
                .getValue(request.number)
                .copy(grantedClaim = unproved),
        )
    }
}

internal fun idempotencyKey(request: CallerRequest): String =
    (request.target as? RequestTarget.Service)?.idempotencyKey.orEmpty()

private fun Reduction.sendClaim(
    identifier: String,
    asked: AskedClaim,
) {
    claims { it.copy(asked = it.asked.put(identifier, asked.copy(sends = asked.sends + 1))) }
    emit(
        EntryEffect.SendToControl(
            EntryToControl.ClaimRequest(asked.key, asked.requestDigest, identifier, settings.name),
        ),
    )
}

internal fun Reduction.claimAnswered(answer: ControlToEntry.ClaimAnswer) {
    val identifier = answer.attemptIdentifier
    val asked = state.claims.asked[identifier] ?: return lateClaimAnswer(answer)
    claims { it.copy(asked = it.asked.remove(identifier)) }
    val active = state.requests.active[asked.requestNumber] ?: return
    val decision = answer.decision
    if (decision is ClaimDecision.Granted) {
        explain(active.number, "was granted claim ${decision.claimNumber}")
        return enqueue(active.copy(grantedClaim = GrantedClaim(asked.key, identifier, decision.claimNumber)))
    }
    // A repeat of the request may still be granted after another holder gave up, and nobody would know of it.
    if (decision == ClaimDecision.Unavailable || asked.sends > 1) abandon(identifier, asked.key)
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

        // The record of an interrupted call carries no number here; 0 stands for "see the key's history".
        CallOutcome.Unknown -> refuse(active, Refusal.OutcomeUnknown(claimNumber = 0))
    }
}

private fun Reduction.claimUnavailable(active: ActiveRequest) {
    record(EntryDecisionEvent.CLAIM_UNAVAILABLE, "request" to active.number)
    refuse(active, Refusal.ControlUnavailable)
}

/** Gives up whatever claim the request holds or asks for. Only called while the call has not been dispatched. */
internal fun Reduction.giveUpClaim(active: ActiveRequest) {
    val phase = active.phase
    if (phase is RequestPhase.Claiming) {
        val asked = state.claims.asked[phase.attemptIdentifier] ?: return
        claims { it.copy(asked = it.asked.remove(phase.attemptIdentifier)) }
        if (asked.sends > 0) abandon(phase.attemptIdentifier, asked.key)
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

/** A new link may lead to another replica: everything that waits for an answer is sent again. */
internal fun Reduction.resendClaims() {
    state.claims.asked.forEach { (identifier, asked) -> sendClaim(identifier, asked) }
    repeatRecords(dueBefore = now)
}

internal fun Reduction.claimsTick() {
    state.claims.asked.values
        .filter { now - it.askedAt >= CLAIM_WAIT_MILLISECONDS }
        .forEach { asked ->
            val active = state.requests.active[asked.requestNumber] ?: return@forEach
            explain(active.number, "waited ${now - asked.askedAt} ms for its claim in vain")
            claimUnavailable(active)
        }
    releaseOverdueAnswers()
    if (state.controlLink.open) repeatRecords(dueBefore = now - REPEAT_MILLISECONDS)
}

private fun Reduction.repeatRecords(dueBefore: Long) {
    val dueOutcomes =
        state.claims.outcomes
            .filterValues { it.sentAt <= dueBefore }
            .entries
            .take(REPEATS_AT_ONCE)
    dueOutcomes.forEach { (number, pending) ->
        claims { it.copy(outcomes = it.outcomes.put(number, pending.copy(sentAt = now))) }
        emit(EntryEffect.SendToControl(EntryToControl.OutcomeRecord(pending.key, number, pending.outcome)))
    }
    val dueAbandons =
        state.claims.abandons
            .filterValues { it.sentAt <= dueBefore }
            .entries
            .take(REPEATS_AT_ONCE)
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
private const val REPEAT_MILLISECONDS = 1_000L
private const val REPEATS_AT_ONCE = 50
