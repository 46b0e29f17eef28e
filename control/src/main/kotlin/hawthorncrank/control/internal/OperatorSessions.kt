package hawthorncrank.control.internal

import com.github.michaelbull.result.mapBoth
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.TicketAnswer
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.PlanStatus
import hawthorncrank.intents.IntentContext
import hawthorncrank.intents.planFor
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand

/** Handles an operator's command. Questions about the group's state are answered after a read index. */
internal fun ControlStep.operatorMessage(event: ControlEvent.OperatorMessage) {
    val requester = Requester.Operator(event.link, event.number)
    val command = event.command
    record(ControlEventCode.OPERATOR_COMMAND, "operator" to event.operator, "command" to command.javaClass.simpleName)
    when (command) {
        OperatorCommand.Identity -> answer(requester, identity())
        is OperatorCommand.FormGroup -> {
            val ticket = ticket(TicketUse.Form(requester))
            toReplica(ReplicaEvent.FormGroup(ticket, command.members))
        }
        OperatorCommand.Status -> answer(requester, OperatorAnswer.Report(statusLines()))
        is OperatorCommand.Explain -> ask(requester, command.requestNumber)
        is OperatorCommand.ReplaceConfiguration -> replace(event, requester, command)
        OperatorCommand.ShowConfiguration,
        OperatorCommand.ShowDocument,
        is OperatorCommand.ProposeConfiguration,
        is OperatorCommand.PlanIntent,
        is OperatorCommand.History,
        -> read(TicketUse.OperatorRead(requester, event.operator, command, now + OPERATOR_MILLISECONDS))
        else -> operate(event, requester)
    }
}

private fun ControlStep.replace(
    event: ControlEvent.OperatorMessage,
    requester: Requester.Operator,
    command: OperatorCommand.ReplaceConfiguration,
) {
    val voters = state.replica.membership.voters.size
    if (voters < state.requiredVoters) {
        val problem = "the group has $voters of ${state.requiredVoters} voters"
        return answer(requester, OperatorAnswer.Refused(problem, "send it again in a second", elsewhere = true))
    }
    read(TicketUse.OperatorRead(requester, event.operator, command, now + OPERATOR_MILLISECONDS))
}

private fun ControlStep.identity() =
    OperatorAnswer.ReplicaIdentity(state.replica.self, formed = state.replica.group != null)

private fun ControlStep.operate(
    event: ControlEvent.OperatorMessage,
    requester: Requester,
) {
    val (identifier, operation) =
        when (val command = event.command) {
            is OperatorCommand.ConfirmPlan ->
                command.commandIdentifier to ControlOperation.ConfirmPlan(command.planNumber)
            is OperatorCommand.Drain ->
                command.commandIdentifier to ControlOperation.Drain(command.upstream, command.draining)
            is OperatorCommand.LiftConviction ->
                command.commandIdentifier to ControlOperation.LiftConviction(command.contentDigest)
            is OperatorCommand.ResolveClaim ->
                command.commandIdentifier to ControlOperation.ResolveClaim(command.key, command.ran)
            is OperatorCommand.OrderEngine ->
                command.commandIdentifier to ControlOperation.OrderEngine(command.upstream, command.order)
            else -> return
        }
    propose(identifier, event.operator, operation, requester, OPERATOR_MILLISECONDS)
}

private fun ControlStep.read(use: TicketUse.OperatorRead) {
    toReplica(ReplicaEvent.RequestRead(ticket(use)))
}

/** Without a leader the question waits; the answer to a stale one would look like the group's state. */
internal fun ControlStep.operatorReadRefused(
    use: TicketUse.OperatorRead,
    answer: TicketAnswer,
) {
    val reason = (answer as? TicketAnswer.Refused)?.reason
    val problem = reason?.problem ?: "the read was not confirmed"
    val remedy = reason?.remedy ?: "retry in a few seconds"
    answer(use.requester, OperatorAnswer.Refused(problem, remedy, elsewhere = true))
}

internal fun ControlStep.answerRead(use: TicketUse.OperatorRead) {
    val control = state.control
    when (val command = use.command) {
        OperatorCommand.ShowConfiguration ->
            answer(use.requester, OperatorAnswer.CurrentConfiguration(control.version, control.configuration))
        OperatorCommand.ShowDocument ->
            answer(use.requester, OperatorAnswer.CurrentDocument(control.version, control.document?.bytes))
        is OperatorCommand.ReplaceConfiguration -> replaceConfiguration(use, command)
        is OperatorCommand.History -> answer(use.requester, OperatorAnswer.Report(historyLines(command.newest)))
        is OperatorCommand.PlanIntent -> plan(use, command)
        is OperatorCommand.ProposeConfiguration -> proposeConfiguration(use, command)
        else -> Unit
    }
}

private fun ControlStep.plan(
    use: TicketUse.OperatorRead,
    command: OperatorCommand.PlanIntent,
) {
    val confirmed = state.control.plans.filterValues { it.status == PlanStatus.CONFIRMED }
    val context =
        IntentContext(
            version = state.control.version,
            configuration = state.control.configuration,
            drains = state.control.drains.keys,
            confirmedPlans = confirmed.mapValues { it.value.plan },
            wallTime = wallTime,
            offsetMinutes = command.offsetMinutes,
        )
    planFor(command.sentence, context).mapBoth(
        success = { plan ->
            val operation = ControlOperation.RecordPlan(plan)
            propose("plan/${freshIdentifier()}", use.operator, operation, use.requester, OPERATOR_MILLISECONDS)
        },
        failure = { answer(use.requester, OperatorAnswer.Refused(it.problem, it.remedy)) },
    )
}

private const val OPERATOR_MILLISECONDS = 8_000L
