package hawthorncrank.bench.internal

import hawthorncrank.routing.ChoiceRule
import hawthorncrank.routing.RoutingPolicy
import hawthorncrank.scheduling.SchedulingPolicy

/** A policy to compare: the product's own, a baseline, or the product's with one mechanism switched off. */
internal class Variant(
    val name: String,
    val scheduling: SchedulingPolicy = SchedulingPolicy(),
    val routing: RoutingPolicy = RoutingPolicy(),
)

private val FIRST_IN_FIRST_OUT =
    SchedulingPolicy(
        tierOrder = false,
        fairness = false,
        shedLowestTier = false,
        preemption = false,
        floor = false,
        refuseUseless = false,
    )

private fun simpleRouting(choice: ChoiceRule) =
    RoutingPolicy(choice, tierAware = false, prefixAffinity = false, slowDetection = false)

internal val PRODUCT = Variant("product")

internal val VARIANTS =
    listOf(
        PRODUCT,
        Variant("round robin, FIFO", FIRST_IN_FIRST_OUT, simpleRouting(ChoiceRule.ROUND_ROBIN)),
        Variant("least in flight, FIFO", FIRST_IN_FIRST_OUT, simpleRouting(ChoiceRule.LEAST_IN_FLIGHT)),
        Variant(
            "strict priority",
            FIRST_IN_FIRST_OUT.copy(tierOrder = true, shedLowestTier = true),
            simpleRouting(ChoiceRule.LEAST_IN_FLIGHT),
        ),
        Variant("no floor", SchedulingPolicy(floor = false)),
        Variant("no fairness", SchedulingPolicy(fairness = false)),
        Variant("no preemption", SchedulingPolicy(preemption = false)),
        Variant("no tier-aware load", routing = RoutingPolicy(tierAware = false)),
        Variant("no prefix affinity", routing = RoutingPolicy(prefixAffinity = false)),
        Variant("no slow detection", routing = RoutingPolicy(slowDetection = false)),
        Variant("no load discounting", routing = RoutingPolicy(loadDiscounting = false)),
        Variant("no useless-work refusal", SchedulingPolicy(refuseUseless = false)),
    )
