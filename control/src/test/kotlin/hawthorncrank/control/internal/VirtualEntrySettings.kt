package hawthorncrank.control.internal

import hawthorncrank.entry.core.EntryBehaviour
import hawthorncrank.entry.core.EntrySettings
import hawthorncrank.routing.ChoiceRule
import hawthorncrank.routing.RoutingPolicy
import hawthorncrank.scheduling.SchedulingPolicy

/** The settings of an entry behind routes, alone in its availability zone. */
internal fun virtualEntrySettings(
    name: String,
    randomSeed: Long = name.hashCode().toLong(),
) = EntrySettings(
    name,
    "zone",
    "region",
    listOf(name),
    randomSeed,
    regions = mapOf("zone" to "region"),
    behaviour =
        EntryBehaviour(
            brokenConnectionIsCrash = false,
            connectFailuresToExclude = 1,
            scheduling = SchedulingPolicy(preemption = false, floor = false),
            routing = RoutingPolicy(choice = ChoiceRule.LEAST_DELAY, reservesFloors = false),
        ),
)
