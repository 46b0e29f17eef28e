package hawthorncrank.control.internal

import hawthorncrank.control.Applied
import hawthorncrank.control.CommandResult
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.REMEMBERED_COMMANDS
import hawthorncrank.protocol.OperatorAnswer

/** Advances the replicated clock, then applies the operation. */
internal fun applyOperation(
    state: ControlState,
    context: CommandContext,
): Applied {
    val current = state.advancedTo(context.command.clock)
    return when (val operation = context.command.operation) {
        is ControlOperation.Claim -> current.claim(operation, context)
        is ControlOperation.RecordOutcome -> current.recordOutcome(operation)
        is ControlOperation.AbandonClaim -> current.abandonClaim(operation)
        is ControlOperation.Convict -> current.convict(operation, context).done()
        is ControlOperation.RecordCrash -> current.recordCrash(operation).done()
        is ControlOperation.ClearContents -> current.clearContents(operation).done()
        ControlOperation.JudgeSuspects -> current.judgeSuspects(context).done()
        is ControlOperation.StageChange -> current.stageChange(operation).done()
        is ControlOperation.ReturnPlan -> current.returnPlan(operation, context).done()
        is ControlOperation.IssueOrder -> current.issueOrder(operation, context).done()
        is ControlOperation.EndOrder -> current.endOrder(operation, context).done()
        is ControlOperation.EntryLinked -> current.entryLinked(operation, context).done()
        is ControlOperation.EntryLost -> current.entryLost(operation).done()
        is ControlOperation.TakeDuties -> current.takeDuties(operation, context).done()
        is ControlOperation.RecordUsage -> current.recordUsage(operation).done()
        is ControlOperation.CloseUsageWindow -> current.closeUsageWindow(operation).done()
        is ControlOperation.UsageDelivered -> current.usageDelivered(operation).done()
        is ControlOperation.RecordDemand -> current.recordDemand(operation).done()
        is ControlOperation.OrderEngines -> current.orderEngines(operation, context).done()
        is ControlOperation.EngineOrderAnswered -> current.engineOrderAnswered(operation).done()
        is ControlOperation.RecordSlowEngines -> current.recordSlowEngines(operation).done()
        ControlOperation.AdvanceClock -> current.done()
        else -> current.applyOnce(context) { answerOperator(operation, context) }
    }
}

private fun ControlState.answerOperator(
    operation: ControlOperation,
    context: CommandContext,
): Answered =
    when (operation) {
        is ControlOperation.ChangeConfiguration -> changeConfiguration(operation, context)
        is ControlOperation.ReplaceConfiguration -> replaceConfiguration(operation, context)
        is ControlOperation.ResolveClaim -> resolveClaim(operation, context)
        is ControlOperation.LiftConviction -> liftConviction(operation, context)
        is ControlOperation.Drain -> drain(operation, context)
        is ControlOperation.RecordPlan -> recordPlan(operation, context)
        is ControlOperation.ConfirmPlan -> confirmPlan(operation, context)
        is ControlOperation.OrderEngine -> orderEngine(operation, context)
        else -> error("$operation is not an operator's command")
    }

/** The state after an operator's command, and its answer. A transient answer is not remembered for resends. */
internal data class Answered(
    val state: ControlState,
    val answer: OperatorAnswer,
    val transient: Boolean = false,
)

internal fun ControlState.accepted(lines: List<String> = emptyList()) =
    Answered(this, OperatorAnswer.Accepted(version, lines))

internal fun ControlState.refused(
    problem: String,
    remedy: String,
) = Answered(this, OperatorAnswer.Refused(problem, remedy))

/**
 * Applies an operator's command and remembers the answer, unless it is transient. A resend under a remembered identifier
 * gets the first answer and has no effect.
 */
private fun ControlState.applyOnce(
    context: CommandContext,
    operation: ControlState.() -> Answered,
): Applied {
    val identifier = context.command.identifier
    answers[identifier]?.let { return Applied(this, it) }
    val (state, answer, transient) = operation()
    val result = CommandResult.Operator(answer)
    if (transient) return Applied(state, result)
    val remembered = state.answers.put(identifier, result)
    val limited = if (remembered.size > REMEMBERED_COMMANDS) remembered.remove(remembered.keys.first()) else remembered
    return Applied(state.copy(answers = limited), result)
}

private fun ControlState.done() = Applied(this, CommandResult.Done)
