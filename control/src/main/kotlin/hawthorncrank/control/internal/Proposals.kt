package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.ReplicaRefusal
import hawthorncrank.consensus.TicketAnswer
import hawthorncrank.control.CommandResult
import hawthorncrank.control.ControlCodec
import hawthorncrank.control.ControlCommand
import hawthorncrank.control.ControlOperation
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.OperatorAnswer

/**
 * Proposes a command and remembers its requester. A resend while it is pending only replaces the requester and the
 * deadline.
 */
internal fun ControlStep.propose(
    identifier: String,
    by: String,
    operation: ControlOperation,
    requester: Requester,
    lifetime: Long,
    parts: List<ControlOperation.StageChange> = emptyList(),
    source: TicketUse.OperatorRead? = null,
) {
    val known = state.pending[identifier]
    if (known != null) {
        val renewed = known.copy(requester = requester, deadline = now + lifetime)
        state = state.copy(pending = state.pending.put(identifier, renewed))
        return
    }
    val command =
        PendingCommand(
            identifier,
            requester,
            by,
            operation,
            parts,
            now,
            now + lifetime,
            proposeAt = now,
            uncommitted = true,
            source = source,
        )
    state = state.copy(pending = state.pending.put(identifier, command))
    submit(identifier, command)
}

/** Proposes a command of this process itself, unless the same command is already pending. */
internal fun ControlStep.proposeOwn(
    identifier: String,
    operation: ControlOperation,
) {
    if (identifier in state.pending) return
    propose(identifier, state.replica.self.name, operation, Requester.None, OWN_COMMAND_MILLISECONDS)
}

/** Returns an identifier that no other command has. */
internal fun ControlStep.freshIdentifier(): String {
    val number = state.nextCommand
    state = state.copy(nextCommand = number + 1)
    return "${state.nonce}-$number"
}

private fun ControlStep.submit(
    identifier: String,
    command: PendingCommand,
) {
    val submitted = state.pending.put(identifier, command.copy(proposeAt = null))
    state = state.copy(pending = submitted)
    command.parts.forEach { part ->
        val payload = encoded("$identifier/${part.part}", command.by, part)
        queueReplicaEvent(ReplicaEvent.ProposeCommand(ticket(TicketUse.Part), payload))
    }
    val payload = encoded(identifier, command.by, command.operation)
    queueReplicaEvent(ReplicaEvent.ProposeCommand(ticket(TicketUse.Command(identifier)), payload))
}

private fun ControlStep.encoded(
    identifier: String,
    by: String,
    operation: ControlOperation,
) = ControlCodec.encode(ControlCommand(identifier, by, state.clock(now), wallTime, operation))

/**
 * A transient refusal or an unknown result is retried until the deadline, because a new leader may accept the command.
 * A committed command is usually already applied here; if a snapshot skipped its record, proposing it again under the
 * same identifier returns its answer.
 */
internal fun ControlStep.commandAnswered(
    use: TicketUse.Command,
    answer: TicketAnswer,
) {
    val pending = state.pending[use.identifier] ?: return
    when (answer) {
        is TicketAnswer.Committed -> scheduleRetry(use.identifier, pending.copy(uncommitted = false))
        is TicketAnswer.Refused -> commandRefused(use.identifier, pending, answer.reason)
        TicketAnswer.Unknown -> scheduleRetry(use.identifier, pending.copy(uncommitted = false))
    }
}

private fun ControlStep.commandRefused(
    identifier: String,
    pending: PendingCommand,
    reason: ReplicaRefusal,
) {
    if (reason in TRANSIENT_REFUSALS && !state.stopping) return scheduleRetry(identifier, pending)
    state = state.copy(pending = state.pending.remove(identifier))
    giveUp(pending, reason)
}

private fun ControlStep.scheduleRetry(
    identifier: String,
    pending: PendingCommand,
) {
    val delayed = pending.copy(proposeAt = now + PROPOSAL_RETRY_MILLISECONDS)
    state = state.copy(pending = state.pending.put(identifier, delayed))
}

/** Proposes commands again whose retry is due, and gives up those that have passed their deadline. */
internal fun ControlStep.retryProposals() {
    state.pending.forEach { (identifier, pending) ->
        val proposeAt = pending.proposeAt
        if (now >= pending.deadline) {
            state = state.copy(pending = state.pending.remove(identifier))
            record(ControlEventCode.COMMAND_EXPIRED, "command" to pending.operation.javaClass.simpleName)
            giveUp(pending, ReplicaRefusal.NO_LEADER)
        } else if (proposeAt != null && now >= proposeAt) {
            submit(identifier, pending)
        }
    }
}

/** Makes all waiting retries due, because a leader is known now. */
internal fun ControlStep.retryProposalsNow() {
    val waiting = state.pending.filterValues { it.proposeAt != null }
    waiting.forEach { (identifier, pending) ->
        state = state.copy(pending = state.pending.put(identifier, pending.copy(proposeAt = now)))
    }
}

/** Answers only claims and operators: entries repeat outcomes and abandonments until they are acknowledged. */
private fun ControlStep.giveUp(
    pending: PendingCommand,
    reason: ReplicaRefusal,
) {
    when (val requester = pending.requester) {
        is Requester.Operator -> {
            val uncertain = OperatorAnswer.Uncertain("resend it under the same command identifier")
            val refused = OperatorAnswer.Refused(reason.problem, reason.remedy, elsewhere = reason in LOCAL_REFUSALS)
            answer(requester, if (pending.uncommitted && pending.proposeAt != null) refused else uncertain)
        }

        is Requester.Entry -> {
            val claim = pending.operation as? ControlOperation.Claim ?: return
            send(requester.link, ControlToEntry.ClaimAnswer(claim.key, pending.identifier, ClaimDecision.Unavailable))
        }

        Requester.None -> Unit
    }
}

/** Tells the requester what the applied command resulted in. */
internal fun ControlStep.deliver(
    pending: PendingCommand,
    result: CommandResult,
) {
    when (val requester = pending.requester) {
        is Requester.Operator -> if (result is CommandResult.Operator) deliver(pending, requester, result.answer)
        is Requester.Entry -> entryAnswer(result)?.let { send(requester.link, it) }
        Requester.None -> Unit
    }
}

private fun ControlStep.deliver(
    pending: PendingCommand,
    requester: Requester.Operator,
    answer: OperatorAnswer,
) {
    val source = pending.source?.takeIf { answer is OperatorAnswer.Conflict && now < it.deadline }
    if (source == null) answer(requester, answer) else answerRead(source)
}

private fun entryAnswer(result: CommandResult): ControlToEntry? =
    when (result) {
        is CommandResult.Claimed -> ControlToEntry.ClaimAnswer(result.key, result.attemptIdentifier, result.decision)
        is CommandResult.OutcomeRecorded ->
            ControlToEntry.OutcomeRecorded(result.key, result.claimNumber, result.accepted)
        is CommandResult.ClaimAbandoned ->
            ControlToEntry.ClaimAbandoned(result.key, result.attemptIdentifier, result.accepted)
        is CommandResult.Operator, CommandResult.Done -> null
    }

private val TRANSIENT_REFUSALS = setOf(ReplicaRefusal.NO_LEADER, ReplicaRefusal.NOT_LEADER, ReplicaRefusal.OVERLOADED)

// Another replica may still accept the command.
private val LOCAL_REFUSALS = TRANSIENT_REFUSALS + setOf(ReplicaRefusal.NOT_ADMITTED, ReplicaRefusal.STOPPING)
private const val PROPOSAL_RETRY_MILLISECONDS = 300L
private const val OWN_COMMAND_MILLISECONDS = 30_000L
