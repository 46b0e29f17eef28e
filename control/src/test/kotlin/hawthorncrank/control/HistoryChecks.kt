package hawthorncrank.control

import hawthorncrank.intents.changesConfiguration
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.OperatorAnswer

/**
 * Checks that a history keeps the guarantees that operators and entries rely on. Returns one line for each violation.
 */
fun violations(history: List<Step>): List<String> =
    oneAcceptedChangePerBase(history) +
        resendsGetFirstAnswer(history) +
        plansApplyOnceOnTheirBase(history) +
        versionsRiseByOne(history) +
        ClaimChecks().violations(history)

private fun oneAcceptedChangePerBase(history: List<Step>): List<String> {
    val accepted = HashMap<Long, MutableSet<String>>()
    history.forEach { step ->
        if (step.operatorAnswer() !is OperatorAnswer.Accepted) return@forEach
        val base =
            when (val operation = step.command.operation) {
                is ControlOperation.ChangeConfiguration -> operation.delta.baseVersion
                is ControlOperation.ConfirmPlan -> confirmedBase(step, operation) ?: return@forEach
                else -> return@forEach
            }
        accepted.getOrPut(base) { HashSet() } += step.command.identifier
    }
    return accepted.filterValues { it.size > 1 }.map { "base ${it.key} has several accepted changes: ${it.value}" }
}

/** The base version of a plan that changes the configuration; several plans that only drain may share one. */
private fun confirmedBase(
    step: Step,
    operation: ControlOperation.ConfirmPlan,
): Long? {
    val plan = step.after.plans[operation.planNumber]?.plan ?: return null
    return plan.baseVersion.takeIf { plan.change.changesConfiguration }
}

/** A plan takes effect once, on the version that it was made for; it is reverted at most once, afterwards. */
private fun plansApplyOnceOnTheirBase(history: List<Step>): List<String> {
    val effective = history.filter { it.before.plans != it.after.plans }
    val confirmed = effective.filter { it.command.operation is ControlOperation.ConfirmPlan }
    val confirmedTwice =
        confirmed
            .groupBy { (it.command.operation as ControlOperation.ConfirmPlan).planNumber }
            .filterValues { it.size > 1 }
            .map { "plan ${it.key} is confirmed ${it.value.size} times" }
    val onOtherBase =
        confirmed
            .filter { step ->
                val number = (step.command.operation as ControlOperation.ConfirmPlan).planNumber
                step.before.plans
                    .getValue(number)
                    .plan.baseVersion != step.before.version
            }.map { "command ${it.command.identifier} confirms a plan on another version than its base" }
    val returned =
        effective
            .filter { it.command.operation is ControlOperation.ReturnPlan }
            .groupBy { (it.command.operation as ControlOperation.ReturnPlan).planNumber }
            .filterValues { it.size > 1 }
            .map { "plan ${it.key} returns ${it.value.size} times" }
    return confirmedTwice + onOtherBase + returned
}

private fun resendsGetFirstAnswer(history: List<Step>): List<String> =
    history
        .filter { it.operatorAnswer() != null }
        .groupBy { it.command.identifier }
        .filterValues { steps -> steps.map { it.result }.distinct().size > 1 }
        .map { "command ${it.key} got several answers" }

private fun versionsRiseByOne(history: List<Step>): List<String> =
    history
        .filter { it.after.version !in it.before.version..it.before.version + 1 }
        .map { "version went from ${it.before.version} to ${it.after.version}" }

/** Follows every claim number from its grant to its end, without reading the claims in the state machine. */
private class ClaimChecks {
    private val holders = HashMap<ClaimKey, Holder>()
    private val grants = HashMap<String, Long>()
    private val withOutcome = HashSet<String>()
    private val abandoned = HashSet<String>()
    private val violations = ArrayList<String>()

    private class Holder(
        val number: Long,
        val attempt: String,
        var finishedAt: Long? = null,
        var answer: String? = null,
        var free: Boolean = false,
    )

    fun violations(history: List<Step>): List<String> {
        history.forEach { step ->
            when (val result = step.result) {
                is CommandResult.Claimed -> claimed(result, step)
                is CommandResult.OutcomeRecorded -> outcomeRecorded(result, step)
                is CommandResult.ClaimAbandoned -> abandoned(result)
                is CommandResult.Operator -> resolved(step)
                CommandResult.Done -> Unit
            }
        }
        return violations
    }

    private fun claimed(
        result: CommandResult.Claimed,
        step: Step,
    ) {
        val holder = holders[result.key]
        val decision = result.decision
        if (decision is ClaimDecision.Finished && decision.outcome != expectedAnswer(holder, decision)) {
            violations += "${result.key} answers ${decision.outcome} and not the first outcome"
        }
        if (decision !is ClaimDecision.Granted) return
        val attempt = result.attemptIdentifier
        if (attempt in abandoned) violations += "abandoned attempt $attempt is granted ${decision.claimNumber}"
        if (attempt in withOutcome) violations += "attempt $attempt is granted after its outcome"
        val earlier = grants.put(attempt, decision.claimNumber)
        if (earlier == decision.claimNumber) return
        if (earlier != null) violations += "attempt $attempt is granted $earlier and ${decision.claimNumber}"
        if (holder != null && !isFree(holder, step)) {
            violations += "${result.key} is granted as ${decision.claimNumber} while ${holder.number} may run"
        }
        holders[result.key] = Holder(decision.claimNumber, attempt)
    }

    private fun expectedAnswer(
        holder: Holder?,
        decision: ClaimDecision.Finished,
    ) = if (holder?.answer == RESOLVED) decision.outcome else holder?.answer?.let { ControlHistory.answered(it) }

    private fun isFree(
        holder: Holder,
        step: Step,
    ): Boolean {
        val finishedAt = holder.finishedAt ?: return holder.free
        return step.after.clock - finishedAt >= FINISHED_CLAIM_RETENTION_MILLISECONDS
    }

    private fun outcomeRecorded(
        result: CommandResult.OutcomeRecorded,
        step: Step,
    ) {
        if (!result.accepted) return
        val holder = holders[result.key]
        val operation = step.command.operation as ControlOperation.RecordOutcome
        if (holder?.number != operation.claimNumber) {
            violations += "${result.key} takes an outcome of ${operation.claimNumber} and is held as ${holder?.number}"
            return
        }
        withOutcome += holder.attempt
        val answered = operation.outcome as? CallOutcome.Answered ?: return
        if (holder.finishedAt != null) return
        holder.finishedAt = step.after.clock
        holder.answer = answered.bodyDigest
    }

    private fun abandoned(result: CommandResult.ClaimAbandoned) {
        if (!result.accepted) return
        if (result.attemptIdentifier in
            withOutcome
        ) {
            violations += "${result.attemptIdentifier} is abandoned after its outcome"
        }
        abandoned += result.attemptIdentifier
        val holder = holders[result.key] ?: return
        if (holder.attempt == result.attemptIdentifier) holder.free = true
    }

    private fun resolved(step: Step) {
        val operation = step.command.operation as? ControlOperation.ResolveClaim ?: return
        if (step.operatorAnswer() !is OperatorAnswer.Accepted || step.before.claims == step.after.claims) return
        val holder = holders.getValue(operation.key)
        if (operation.ran) {
            holder.finishedAt = step.after.clock
            holder.answer = RESOLVED
            withOutcome += holder.attempt
        } else {
            holder.free = true
        }
    }

    private companion object {
        const val RESOLVED = "resolved"
    }
}
