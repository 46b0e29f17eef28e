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

/** Handles an operator's command. Reads of the group's state are answered after a read index. */
internal fun ControlStep.operatorMessage(event: ControlEvent.OperatorMessage) {
    val requester = Requester.Operator(event.link, event.number)
    val command = event.command
    record(ControlEventCode.OPERATOR_COMMAND, "operator" to event.operator, "command" to command.javaClass.simpleName)
    when (command) {
        OperatorCommand.Identity -> answer(requester, identity())
        is OperatorCommand.FormGroup -> {
            val ticket = ticket(TicketUse.Form(requester))
            queueReplicaEvent(ReplicaEvent.FormGroup(ticket, command.members))
        }
        OperatorCommand.Status -> answer(requester, OperatorAnswer.Report(statusLines()))
        is OperatorCommand.Explain -> askForExplanation(requester, command.requestNumber)
        is OperatorCommand.ReplaceConfiguration -> readForReplacement(event, requester, command)
        OperatorCommand.ShowConfiguration,
        OperatorCommand.ShowDocument,
        is OperatorCommand.ProposeConfiguration,
        is OperatorCommand.PlanIntent,
        is OperatorCommand.History,
        is OperatorCommand.Usage,
        -> read(TicketUse.OperatorRead(requester, event.operator, command, now + OPERATOR_MILLISECONDS))
        else -> proposeCommand(event, requester)
    }
}

private fun ControlStep.readForReplacement(
    event: ControlEvent.OperatorMessage,
    requester: Requester.Operator,
    command: OperatorCommand.ReplaceConfiguration,
) {
    val voters = state.replica.membership.voters.size
    if (voters < state.requiredVoters) {
        val problem = "the group has only $voters of ${state.requiredVoters} voters"
        return answer(requester, OperatorAnswer.Refused(problem, "send it again in a second", elsewhere = true))
    }
    read(TicketUse.OperatorRead(requester, event.operator, command, now + OPERATOR_MILLISECONDS))
}

private fun ControlStep.identity() =
    OperatorAnswer.ReplicaIdentity(state.replica.self, formed = state.replica.group != null)

private fun ControlStep.proposeCommand(
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

private fun ControlStep.read(request: TicketUse.OperatorRead) {
    queueReplicaEvent(ReplicaEvent.RequestRead(ticket(request)))
}

/** Refuses a read that was not confirmed, because an answer from a stale replica would look like the group's state. */
internal fun ControlStep.operatorReadRefused(
    request: TicketUse.OperatorRead,
    answer: TicketAnswer,
) {
    val reason = (answer as? TicketAnswer.Refused)?.reason
    val problem = reason?.problem ?: "the read was not confirmed"
    val remedy = reason?.remedy ?: "retry in a few seconds"
    answer(request.requester, OperatorAnswer.Refused(problem, remedy, elsewhere = true))
}

internal fun ControlStep.answerRead(request: TicketUse.OperatorRead) {
    val control = state.control
    when (val command = request.command) {
        OperatorCommand.ShowConfiguration ->
            answer(request.requester, OperatorAnswer.CurrentConfiguration(control.version, control.configuration))
        OperatorCommand.ShowDocument ->
            answer(request.requester, OperatorAnswer.CurrentDocument(control.version, control.document?.bytes))
        is OperatorCommand.ReplaceConfiguration -> replaceConfiguration(request, command)
        is OperatorCommand.History -> answer(request.requester, OperatorAnswer.Report(historyLines(command.newest)))
        is OperatorCommand.Usage -> answer(request.requester, OperatorAnswer.Report(usageLines(command.newest)))
        is OperatorCommand.PlanIntent -> plan(request, command)
        is OperatorCommand.ProposeConfiguration -> proposeConfiguration(request, command)
        else -> Unit
    }
}

private fun ControlStep.plan(
    request: TicketUse.OperatorRead,
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
            propose("plan/${freshIdentifier()}", request.operator, operation, request.requester, OPERATOR_MILLISECONDS)
        },
        failure = { answer(request.requester, OperatorAnswer.Refused(it.problem, it.remedy)) },
    )
}

private const val OPERATOR_MILLISECONDS = 8_000L
