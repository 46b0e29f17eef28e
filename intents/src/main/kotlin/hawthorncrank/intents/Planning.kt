package hawthorncrank.intents

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import hawthorncrank.intents.internal.describeChange
import hawthorncrank.intents.internal.describeCostForOthers
import hawthorncrank.protocol.TrafficClass

/** The tier that is served first. */
const val HIGHEST_TIER = 1

/** The tier that is served last; the planned size has 5 service tiers. */
const val LOWEST_TIER = 5

/** Parses a sentence and makes the plan for it. Changes nothing. */
fun planFor(
    sentence: String,
    context: IntentContext,
): Result<Plan, IntentFailure> = parseIntent(sentence, context).flatMap { planFor(it, sentence.trim(), context) }

/** Makes the plan for an intent on the configuration of [context]. */
fun planFor(
    intent: Intent,
    words: String,
    context: IntentContext,
): Result<Plan, IntentFailure> =
    when (intent) {
        is Intent.RaiseClass -> raisePlan(intent, words, context)
        is Intent.ProtectClass -> protectPlan(intent, words, context)
        is Intent.SlowClass -> slowPlan(intent, words, context)
        is Intent.LimitOrganisation -> limitPlan(intent, words, context)
        is Intent.DrainUpstream -> drainPlan(intent, words, context)
        is Intent.UndoPlan -> undoPlan(intent, words, context)
    }

private fun raisePlan(
    intent: Intent.RaiseClass,
    words: String,
    context: IntentContext,
): Result<Plan, IntentFailure> {
    val classes = context.configuration.classes
    val raised = classes.first { it.name == intent.className }
    val others = classes.filter { it.name != intent.className }
    if (raised.tier == HIGHEST_TIER && others.none { it.tier == HIGHEST_TIER }) {
        return Err(IntentFailure.NothingToChange("class \"${raised.name}\" is already above all others"))
    }
    val tiers = tiersBelowFirst(others)
    val changes =
        listOf(ClassChange(raised, raised.copy(tier = HIGHEST_TIER))) +
            others.map { ClassChange(it, it.copy(tier = tiers.getValue(it.tier))) }
    val effect = listOf("requests of ${raised.name} are served before those of every other class")
    return plan(words, context, PlanChange(classes = changes), effect)
}

/**
 * Maps each tier in use to a tier below [HIGHEST_TIER] and keeps their order. Tiers that would fall below [LOWEST_TIER]
 * are merged into it.
 */
private fun tiersBelowFirst(others: List<TrafficClass>): Map<Int, Int> {
    var lowestUsed = HIGHEST_TIER
    return others.map { it.tier }.distinct().sorted().associateWith { tier ->
        lowestUsed = maxOf(tier, lowestUsed + 1).coerceAtMost(LOWEST_TIER)
        lowestUsed
    }
}

private fun protectPlan(
    intent: Intent.ProtectClass,
    words: String,
    context: IntentContext,
): Result<Plan, IntentFailure> {
    val found = context.configuration.classes.first { it.name == intent.className }
    val protected = found.copy(tier = HIGHEST_TIER, floorSlots = found.floorSlots * 2)
    val effect =
        listOf(
            "${found.name} is in tier $HIGHEST_TIER: it is not shed or preempted for any other class",
            "its floor at each entry goes from ${found.floorSlots} to ${protected.floorSlots} slots",
        )
    return plan(words, context, PlanChange(classes = listOf(ClassChange(found, protected))), effect, intent.end)
}

private fun slowPlan(
    intent: Intent.SlowClass,
    words: String,
    context: IntentContext,
): Result<Plan, IntentFailure> {
    val found = context.configuration.classes.first { it.name == intent.className }
    val change = ClassChange(found, found.copy(tier = LOWEST_TIER))
    val effect =
        listOf(
            "${found.name} waits for all higher tiers and is shed first",
            "its floor of ${found.floorSlots} slots at each entry remains, so it does not wait forever",
        )
    return plan(words, context, PlanChange(classes = listOf(change)), effect)
}

private fun limitPlan(
    intent: Intent.LimitOrganisation,
    words: String,
    context: IntentContext,
): Result<Plan, IntentFailure> {
    val found = context.configuration.organisations.first { it.name == intent.organisation }
    val change = OrganisationChange(found, found.copy(requestsPerSecond = intent.requestsPerSecond))
    val effect = listOf("each entry admits at most ${intent.requestsPerSecond} requests per second of ${found.name}")
    return plan(words, context, PlanChange(organisations = listOf(change)), effect)
}

private fun drainPlan(
    intent: Intent.DrainUpstream,
    words: String,
    context: IntentContext,
): Result<Plan, IntentFailure> {
    if (intent.upstream in context.drains) {
        return Err(IntentFailure.NothingToChange("upstream \"${intent.upstream}\" already drains"))
    }
    val effect = listOf("${intent.upstream} gets no new work; requests in flight on it end normally")
    return plan(words, context, PlanChange(drains = listOf(DrainChange(intent.upstream, draining = true))), effect)
}

private fun undoPlan(
    intent: Intent.UndoPlan,
    words: String,
    context: IntentContext,
): Result<Plan, IntentFailure> {
    val undone =
        context.confirmedPlans[intent.planNumber]
            ?: return Err(IntentFailure.UnknownName("plan in force", "${intent.planNumber}", emptyList()))
    val change = undone.change.reversedOn(context.configuration, context.drains)
    val effect = listOf("takes back plan ${undone.number} (${undone.words}); values changed since then stay")
    return plan(words, context, change, effect, undoes = undone.number)
}

private fun plan(
    words: String,
    context: IntentContext,
    change: PlanChange,
    effect: List<String>,
    end: PlanEnd? = null,
    undoes: Long? = null,
): Result<Plan, IntentFailure> {
    val effective =
        change.copy(
            classes = change.classes.filter { it.before != it.after },
            organisations = change.organisations.filter { it.before != it.after },
        )
    if (effective == PlanChange() && undoes == null) {
        return Err(IntentFailure.NothingToChange("the configuration already says this"))
    }
    return Ok(
        Plan(
            number = 0,
            baseVersion = context.version,
            words = words,
            change = effective,
            difference = describeChange(effective),
            expectedEffect = effect,
            costForOthers = describeCostForOthers(effective, context.configuration),
            end = end,
            undoes = undoes,
        ),
    )
}
