package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.TicketAnswer
import hawthorncrank.control.Applied
import hawthorncrank.control.ControlCodec
import hawthorncrank.control.ControlCommand
import hawthorncrank.control.ControlState
import hawthorncrank.control.FencingNumber
import hawthorncrank.control.applyCommand
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.RecordKind

/**
 * Processes one effect of the replica: applies committed records here and passes the other effects on to the process.
 */
internal fun ControlStep.carryOut(effect: ReplicaEffect) {
    when (effect) {
        is ReplicaEffect.Persist -> emit(ControlEffect.Persist(effect))
        is ReplicaEffect.SendEnvelope -> emit(ControlEffect.SendToReplica(effect.recipient.name, effect.envelope))
        is ReplicaEffect.ApplyRecords -> effect.records.forEach(::applyRecord)
        is ReplicaEffect.AnswerTicket -> ticketAnswered(effect.ticket, effect.answer)
        is ReplicaEffect.ReadConfirmed -> readConfirmed(effect.ticket)
        is ReplicaEffect.CaptureSnapshot -> emit(ControlEffect.EncodeSnapshot(effect.index, state.control))
        is ReplicaEffect.InstallSnapshot -> installSnapshot(effect)
        is ReplicaEffect.BecameLeader -> becameLeader(effect)
        is ReplicaEffect.BecameFollower -> becameFollower(effect)
        is ReplicaEffect.LogEvent -> emit(ControlEffect.Record(effect.event, effect.fields))
    }
}

private fun ControlStep.applyRecord(record: LogRecord) {
    if (record.kind != RecordKind.COMMAND) return
    val command = ControlCodec.decodeCommand(record.payload)
    val before = state.control
    val applied = applyCommand(before, command, FencingNumber(record.term, record.index))
    replaceControl(applied)
    if (applied.state.version != before.version) streamChange()
    if (applied.state.convictionRevision != before.convictionRevision) convictionsChanged(before)
    if (applied.state.crashEvidence !== before.crashEvidence) suspectsChanged(before)
    if (applied.state.drainRevision != before.drainRevision) streamDrains()
    if (applied.state.usage !== before.usage) usageChanged(before)
    commandApplied(command, applied)
}

private fun ControlStep.convictionsChanged(before: ControlState) {
    (state.control.convictions.keys - before.convictions.keys).forEach {
        record(ControlEventCode.CONVICTION_ADDED, "content" to it, "crashes" to state.control.convictions[it]?.crashes)
    }
    streamConvictions()
}

private fun ControlStep.suspectsChanged(before: ControlState) {
    val questioned = state.control.questionedSuspects().associate { it.content to it.since }
    if (questioned != before.questionedSuspects().associate { it.content to it.since }) streamSuspicions()
}

private fun ControlStep.replaceControl(applied: Applied) {
    val hasAdvanced = applied.state.clock > state.control.clock
    state = state.copy(control = applied.state, clockAppliedAt = if (hasAdvanced) now else state.clockAppliedAt)
}

private fun ControlStep.commandApplied(
    command: ControlCommand,
    applied: Applied,
) {
    val pending = state.pending[command.identifier] ?: return
    state = state.copy(pending = state.pending.remove(command.identifier))
    emit(ControlEffect.MeasureCommand(command.operation.javaClass.simpleName, now - pending.arrivedAt))
    deliver(pending, applied.result)
}

private fun ControlStep.installSnapshot(effect: ReplicaEffect.InstallSnapshot) {
    val installed = ControlCodec.decodeState(effect.bytes)
    val before = state.control
    state = state.copy(control = installed, clockAppliedAt = now)
    if (installed.version != before.version) confirmEntries(state.entryLinks.keys)
    if (installed.convictionRevision != before.convictionRevision) streamConvictions()
    suspectsChanged(before)
    usageChanged(before)
    if (installed.drainRevision != before.drainRevision) streamDrains()
}

private fun ControlStep.ticketAnswered(
    ticket: Long,
    answer: TicketAnswer,
) {
    val use = state.tickets[ticket] ?: return
    state = state.copy(tickets = state.tickets.remove(ticket))
    when (use) {
        is TicketUse.Command -> commandAnswered(use, answer)
        is TicketUse.Form -> answer(use.requester, formAnswer(answer))
        is TicketUse.OperatorRead -> operatorReadRefused(use, answer)
        TicketUse.ConfirmEntries -> confirmationRefused()
        TicketUse.Part -> Unit
    }
}

private fun ControlStep.readConfirmed(ticket: Long) {
    val use = state.tickets[ticket] ?: return
    state = state.copy(tickets = state.tickets.remove(ticket))
    when (use) {
        is TicketUse.OperatorRead -> answerRead(use)
        TicketUse.ConfirmEntries -> entriesConfirmed()
        else -> Unit
    }
}

private fun formAnswer(answer: TicketAnswer): OperatorAnswer =
    when (answer) {
        is TicketAnswer.Committed -> OperatorAnswer.Accepted(0, listOf("the group is formed"))
        is TicketAnswer.Refused -> OperatorAnswer.Refused(answer.reason.problem, answer.reason.remedy)
        TicketAnswer.Unknown -> OperatorAnswer.Uncertain("look at: hawthorncrank status")
    }

private fun ControlStep.becameLeader(effect: ReplicaEffect.BecameLeader) {
    record(ControlEventCode.BECAME_LEADER, "term" to effect.term)
    state = state.copy(leaderSince = now, orderAttempts = state.orderAttempts.clear())
    retryProposalsNow()
    retryConfirmationNow()
}

private fun ControlStep.becameFollower(effect: ReplicaEffect.BecameFollower) {
    record(ControlEventCode.BECAME_FOLLOWER, "term" to effect.term, "leader" to effect.leader?.name)
    state = state.copy(leaderSince = null)
    withdrawDutyProposals()
    if (effect.leader == null) return
    retryProposalsNow()
    retryConfirmationNow()
}
