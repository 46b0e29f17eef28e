package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.PlanRecord
import hawthorncrank.control.PlanStatus
import hawthorncrank.intents.PlanChange
import hawthorncrank.intents.changesConfiguration
import hawthorncrank.intents.deltaOn
import hawthorncrank.intents.reversedOn
import hawthorncrank.intents.validateConfiguration
import hawthorncrank.protocol.OperatorAnswer

/** Stores a plan under a new number until an operator confirms it. */
internal fun ControlState.recordPlan(
    operation: ControlOperation.RecordPlan,
    context: CommandContext,
): Answered {
    val plan = operation.plan.copy(number = nextPlanNumber)
    val recorded = plans.put(plan.number, PlanRecord(plan, context.command.by))
    val next = copy(plans = recorded, nextPlanNumber = nextPlanNumber + 1).withLimitedPlans()
    return Answered(next, OperatorAnswer.Report(plan.lines() + "confirm with: hawthorncrank confirm ${plan.number}"))
}

/** Applies exactly the recorded plan on its base version, or refuses. */
internal fun ControlState.confirmPlan(
    operation: ControlOperation.ConfirmPlan,
    context: CommandContext,
): Answered {
    val record =
        plans[operation.planNumber]
            ?: return refused("there is no plan ${operation.planNumber}", "make it with: hawthorncrank plan")
    val plan = record.plan
    if (record.status != PlanStatus.PROPOSED) {
        return refused("plan ${plan.number} is already ${record.status.name.lowercase()}", "make a new plan")
    }
    if (plan.baseVersion != version) {
        return Answered(this, OperatorAnswer.Conflict(version, changedBy, changedAtWallTime))
    }
    val undone = plan.undoes?.let { plans[it] }
    if (plan.undoes != null && undone?.status != PlanStatus.CONFIRMED) {
        return refused("plan ${plan.undoes} is no longer in force", "look at the history")
    }
    val returnsAt = plan.end?.wallTime(context.command.wallTime)
    if (returnsAt != null && returnsAt <= context.command.wallTime) {
        return refused("the end of plan ${plan.number} has passed", "make a new plan")
    }
    val failures = validateConfiguration(plan.change.deltaOn(version).applyTo(configuration))
    if (plan.change.changesConfiguration && failures.isNotEmpty()) {
        return invalid(failures.map { it.problem }, failures.first().remedy)
    }
    val confirmed = record.copy(status = PlanStatus.CONFIRMED, returnsAtWallTime = returnsAt)
    return withChange(plan.change, context)
        .withPlan(plan.number, confirmed)
        .let { if (undone == null) it else it.withPlan(undone.plan.number, undone.ended(PlanStatus.UNDONE)) }
        .withHistoryEntry(context, plan.difference, "plan ${plan.number}: ${plan.words}")
        .accepted(plan.lines())
}

/** Reverts a timed plan. The proposer has checked that its end has passed; a repeated command has no effect. */
internal fun ControlState.returnPlan(
    operation: ControlOperation.ReturnPlan,
    context: CommandContext,
): ControlState {
    val record = plans[operation.planNumber] ?: return this
    if (record.status != PlanStatus.CONFIRMED || record.plan.end == null) return this
    val plan = record.plan
    return withChange(plan.change.reversedOn(configuration, drains.keys), context)
        .withPlan(plan.number, record.ended(PlanStatus.RETURNED))
        .withHistoryEntry(context, listOf("plan ${plan.number} returned"), "its duration ended: ${plan.words}")
}

private fun ControlState.withChange(
    change: PlanChange,
    context: CommandContext,
): ControlState {
    val delta = change.deltaOn(version)
    val configured =
        if (change.changesConfiguration) withConfiguration(delta.applyTo(configuration), delta, context) else this
    return change.drains.fold(configured) { state, drain ->
        state.withDrain(drain.upstream, drain.draining, context.command.by)
    }
}

private fun ControlState.withPlan(
    number: Long,
    record: PlanRecord,
) = copy(plans = plans.put(number, record))

private fun PlanRecord.ended(status: PlanStatus) = copy(status = status, returnsAtWallTime = null)

/** Removes the oldest plan that is not confirmed, because a confirmed plan is needed to revert it. */
private fun ControlState.withLimitedPlans(): ControlState {
    if (plans.size <= PLAN_LIMIT) return this
    val oldest = plans.entries.firstOrNull { it.value.status != PlanStatus.CONFIRMED } ?: plans.entries.first()
    return copy(plans = plans.remove(oldest.key))
}

private const val PLAN_LIMIT = 1_000
