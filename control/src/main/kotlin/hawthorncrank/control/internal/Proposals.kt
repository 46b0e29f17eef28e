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

/** Proposes a command and remembers who waits for it. A resend while it is pending only replaces the requester. */
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
            certain = true,
            source = source,
        )
    state = state.copy(pending = state.pending.put(identifier, command))
    submit(identifier, command)
}

/** Proposes a command of this process itself, unless the same is already under way. */
internal fun ControlStep.proposeOwn(
    identifier: String,
    operation: ControlOperation,
) {
    if (identifier in state.pending) return
    propose(identifier, state.replica.self.name, operation, Requester.None, OWN_COMMAND_MILLISECONDS)
}

/** Makes an identifier that no other command has. */
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
        toReplica(ReplicaEvent.ProposeCommand(ticket(TicketUse.Part), payload))
    }
    val payload = encoded(identifier, command.by, command.operation)
    toReplica(ReplicaEvent.ProposeCommand(ticket(TicketUse.Command(identifier)), payload))
}

private fun ControlStep.encoded(
    identifier: String,
    by: String,
    operation: ControlOperation,
) = ControlCodec.encode(ControlCommand(identifier, by, state.clock(now), wallTime, operation))

/**
 * A refusal or an open end is not the last word while the deadline is ahead: a new leader may take the command. A command
 * that is committed is usually applied here by now; if a snapshot skipped its record, proposing it again under the same
 * identifier brings its answer.
 */
internal fun ControlStep.commandAnswered(
    use: TicketUse.Command,
    answer: TicketAnswer,
) {
    val pending = state.pending[use.identifier] ?: return
    when (answer) {
        is TicketAnswer.Committed -> delay(use.identifier, pending.copy(certain = false))
        is TicketAnswer.Refused -> refused(use.identifier, pending, answer.reason)
        TicketAnswer.Unknown -> delay(use.identifier, pending.copy(certain = false))
    }
}

private fun ControlStep.refused(
    identifier: String,
    pending: PendingCommand,
    reason: ReplicaRefusal,
) {
    if (reason in TRANSIENT_REFUSALS && !state.stopping) return delay(identifier, pending)
    state = state.copy(pending = state.pending.remove(identifier))
    giveUp(pending, reason)
}

private fun ControlStep.delay(
    identifier: String,
    pending: PendingCommand,
) {
    val delayed = pending.copy(proposeAt = now + PROPOSAL_INTERVAL_MILLISECONDS)
    state = state.copy(pending = state.pending.put(identifier, delayed))
}

/** Proposes what was refused before; gives up what has passed its deadline. */
internal fun ControlStep.proposeAgain() {
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

/** A leader is known now, so nothing has to wait for its interval. */
internal fun ControlStep.hastenProposals() {
    val waiting = state.pending.filterValues { it.proposeAt != null }
    waiting.forEach { (identifier, pending) ->
        state = state.copy(pending = state.pending.put(identifier, pending.copy(proposeAt = now)))
    }
}

/** Only claims and operators are told: entries repeat outcomes and abandonments until they are acknowledged. */
private fun ControlStep.giveUp(
    pending: PendingCommand,
    reason: ReplicaRefusal,
) {
    when (val requester = pending.requester) {
        is Requester.Operator -> {
            val uncertain = OperatorAnswer.Uncertain("resend it under the same command identifier")
            val refused = OperatorAnswer.Refused(reason.problem, reason.remedy, elsewhere = reason in ELSEWHERE)
            answer(requester, if (pending.certain && pending.proposeAt != null) refused else uncertain)
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
        is CommandResult.OutcomeNoted -> ControlToEntry.OutcomeRecorded(result.key, result.claimNumber, result.accepted)
        is CommandResult.AbandonNoted ->
            ControlToEntry.ClaimAbandoned(result.key, result.attemptIdentifier, result.accepted)
        is CommandResult.Operator, CommandResult.Done -> null
    }

private val TRANSIENT_REFUSALS = setOf(ReplicaRefusal.NO_LEADER, ReplicaRefusal.NOT_LEADER, ReplicaRefusal.OVERLOADED)
private val ELSEWHERE = TRANSIENT_REFUSALS + setOf(ReplicaRefusal.NOT_ADMITTED, ReplicaRefusal.STOPPING)
private const val PROPOSAL_INTERVAL_MILLISECONDS = 300L
private const val OWN_COMMAND_MILLISECONDS = 30_000L
