package hawthorncrank.control.internal

import hawthorncrank.control.Applied
import hawthorncrank.control.AttemptAnswer
import hawthorncrank.control.ClaimRecord
import hawthorncrank.control.CommandResult
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.EntryPresence
import hawthorncrank.control.FinishedClaim
import hawthorncrank.control.HELD_CLAIM_LIMIT_MILLISECONDS
import hawthorncrank.control.REMEMBERED_COMMANDS
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.RECORDED_BODY_LIMIT_BYTES

internal fun ControlState.claim(
    operation: ControlOperation.Claim,
    context: CommandContext,
): Applied {
    val attempt = context.command.identifier
    val record = claims[operation.key]
    val remembered = attempts[attempt]
    val decision =
        when {
            remembered != null -> decideRepeated(remembered, record)
            record == null -> return grant(operation, context)
            else -> decide(record, operation.requestDigest, attempt)
        }
    val next = if (remembered == null) remember(attempt, rememberedAnswer(decision, record)) else this
    return Applied(next, CommandResult.Claimed(operation.key, attempt, decision))
}

private fun ControlState.grant(
    operation: ControlOperation.Claim,
    context: CommandContext,
): Applied {
    val attempt = context.command.identifier
    val entry = context.command.by
    val record = ClaimRecord(nextClaimNumber, operation.requestDigest, attempt, entry, grantedAt = clock)
    val knownEntries =
        if (entry in
            entries
        ) {
            entries
        } else {
            entries.put(entry, EntryPresence(replica = "", firstClaimNumber = 0))
        }
    val next =
        copy(claims = claims.put(operation.key, record), nextClaimNumber = nextClaimNumber + 1, entries = knownEntries)
    return Applied(
        next.remember(attempt, AttemptAnswer.Granted(record.claimNumber)),
        CommandResult.Claimed(operation.key, attempt, ClaimDecision.Granted(record.claimNumber)),
    )
}

private fun ControlState.decide(
    record: ClaimRecord,
    requestDigest: String,
    attempt: String,
): ClaimDecision {
    if (record.requestDigest != requestDigest) return ClaimDecision.DigestMismatch
    return when (val outcome = record.outcome) {
        is CallOutcome.Answered -> ClaimDecision.Finished(outcome)
        CallOutcome.Unknown -> ClaimDecision.OutcomeUnknown(record.claimNumber)
        null ->
            when {
                record.attemptIdentifier == attempt -> ClaimDecision.Granted(record.claimNumber)
                isOrphaned(record) -> ClaimDecision.OutcomeUnknown(record.claimNumber)
                else -> ClaimDecision.HeldByOther(record.entry, record.claimNumber)
            }
    }
}

/**
 * The decision on an attempt that was answered before. A claim that the attempt no longer holds is not granted to it
 * again.
 */
private fun decideRepeated(
    remembered: AttemptAnswer,
    record: ClaimRecord?,
): ClaimDecision =
    when (remembered) {
        is AttemptAnswer.Refused -> remembered.decision
        AttemptAnswer.Abandoned -> ClaimDecision.Unavailable
        is AttemptAnswer.Granted -> currentDecision(record, remembered.claimNumber)
        is AttemptAnswer.Finished -> currentDecision(record, remembered.claimNumber)
    }

private fun currentDecision(
    record: ClaimRecord?,
    claimNumber: Long,
): ClaimDecision {
    if (record?.claimNumber != claimNumber) return ClaimDecision.Unavailable
    return when (val outcome = record.outcome) {
        is CallOutcome.Answered -> ClaimDecision.Finished(outcome)
        CallOutcome.Unknown -> ClaimDecision.OutcomeUnknown(claimNumber)
        null -> ClaimDecision.Granted(claimNumber)
    }
}

private fun rememberedAnswer(
    decision: ClaimDecision,
    record: ClaimRecord?,
): AttemptAnswer =
    when (decision) {
        is ClaimDecision.Granted -> AttemptAnswer.Granted(decision.claimNumber)
        is ClaimDecision.Finished -> AttemptAnswer.Finished(record?.claimNumber ?: 0)
        else -> AttemptAnswer.Refused(decision)
    }

/**
 * Whether the holder was lost, has restarted or has held the claim too long, so that no outcome is expected from it.
 */
internal fun ControlState.isOrphaned(record: ClaimRecord): Boolean {
    val holder = entries[record.entry]
    return holder?.replica == null ||
        record.claimNumber < holder.firstClaimNumber ||
        clock - record.grantedAt >= HELD_CLAIM_LIMIT_MILLISECONDS
}

/**
 * Records an outcome only if the key is still held under the same claim number. The first answer is kept; an unknown
 * outcome is replaced if the holder reports the answer later.
 */
internal fun ControlState.recordOutcome(operation: ControlOperation.RecordOutcome): Applied {
    val record = claims[operation.key]
    val isCurrent = record?.claimNumber == operation.claimNumber
    val result = CommandResult.OutcomeRecorded(operation.key, operation.claimNumber, accepted = isCurrent)
    if (record == null || !isCurrent) return Applied(this, result)
    if (record.outcome is CallOutcome.Answered) return Applied(this, result)
    return Applied(withOutcome(operation, record), result)
}

private fun ControlState.withOutcome(
    operation: ControlOperation.RecordOutcome,
    record: ClaimRecord,
): ControlState {
    val outcome = withoutOversizedBody(operation.outcome)
    val attempt = record.attemptIdentifier
    val next =
        copy(
            claims = claims.put(operation.key, record.copy(outcome = outcome)),
            attempts =
                if (attempt in attempts) {
                    attempts.put(attempt, AttemptAnswer.Finished(record.claimNumber))
                } else {
                    attempts
                },
        )
    if (outcome == CallOutcome.Unknown) return next
    return next.copy(finishedClaims = finishedClaims.put(record.claimNumber, FinishedClaim(operation.key, clock)))
}

private fun withoutOversizedBody(outcome: CallOutcome): CallOutcome {
    if (outcome !is CallOutcome.Answered) return outcome
    val body = outcome.body ?: return outcome
    return if (body.size > RECORDED_BODY_LIMIT_BYTES) outcome.copy(body = null) else outcome
}

/** Releases the key of an attempt that was never dispatched, and excludes the attempt from later grants. */
internal fun ControlState.abandonClaim(operation: ControlOperation.AbandonClaim): Applied {
    val attempt = operation.attemptIdentifier
    val record = claims[operation.key]?.takeIf { it.attemptIdentifier == attempt }
    val accepted = record?.outcome == null && attempts[attempt] !is AttemptAnswer.Finished
    val result = CommandResult.ClaimAbandoned(operation.key, attempt, accepted)
    if (!accepted) return Applied(this, result)
    val released = if (record == null) this else copy(claims = claims.remove(operation.key))
    return Applied(released.remember(attempt, AttemptAnswer.Abandoned), result)
}

private fun ControlState.remember(
    attempt: String,
    answer: AttemptAnswer,
): ControlState {
    val remembered = attempts.put(attempt, answer)
    val limited = if (remembered.size > REMEMBERED_COMMANDS) remembered.remove(remembered.keys.first()) else remembered
    return copy(attempts = limited)
}

/** Records whether a call ran, as stated by an operator, when its holder can no longer report the outcome. */
internal fun ControlState.resolveClaim(
    operation: ControlOperation.ResolveClaim,
    context: CommandContext,
): Answered {
    val name = "${operation.key.organisation} ${operation.key.idempotencyKey}"
    val record = claims[operation.key] ?: return refused("there is no claim $name", "check organisation and key")
    if (record.outcome is CallOutcome.Answered) {
        return refused("claim $name has an outcome", "nothing is left to resolve")
    }
    if (record.outcome == null && !isOrphaned(record)) {
        return refused(
            "claim $name is held by ${record.entry}, which is connected and may be running it",
            "wait for its outcome; after ${HELD_CLAIM_LIMIT_MILLISECONDS / MILLISECONDS_PER_MINUTE} min it can be resolved",
        )
    }
    val resolved =
        if (operation.ran) {
            val outcome = resolvedOutcome(context.command.by)
            withOutcome(ControlOperation.RecordOutcome(operation.key, record.claimNumber, outcome), record)
        } else {
            copy(claims = claims.remove(operation.key))
        }
    val ending = if (operation.ran) "ran" else "not run"
    val what = "claim $name (number ${record.claimNumber}) resolved as $ending"
    return resolved.withHistoryEntry(context, listOf(what), "").accepted(listOf(what))
}

private fun resolvedOutcome(operator: String): CallOutcome.Answered {
    val body = """{"outcome":"ran","resolved_by":"${operator.filter { it.isLetterOrDigit() || it in "._-" }}"}"""
    val bytes = body.encodeToByteArray()
    return CallOutcome.Answered(RESOLVED_STATUS, "application/json", bytes, bodyDigest = "")
}

private const val RESOLVED_STATUS = 200
private const val MILLISECONDS_PER_MINUTE = 60_000L
