package hawthorncrank.operator.internal

import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.ANONYMOUS_ORGANISATION
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.RequestRoute
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.routeClassName

/** Finds limits of one item that exclude each other. */
internal fun findContradictions(configuration: Configuration): List<ConfigurationFinding> =
    configuration.classes.flatMap(::contradictionsOf) +
        configuration.organisations.filter { !mayUseAnyRoute(it, configuration) }.map {
            warning(
                "organisations.${it.name}.classes",
                "no route gives a request of this organisation a class that it may use",
                "correct its classes or its tier",
            )
        }

private fun contradictionsOf(item: TrafficClass): List<ConfigurationFinding> =
    listOfNotNull(
        targetOverLimit(item, "first_token", item.firstToken),
        targetOverLimit(item, "between_tokens", item.betweenTokens),
        warning(
            "classes.${item.name}.floor_slots",
            "${item.floorSlots} is more than queue_requests, ${item.queueRequests}",
            "lower the floor or raise the queue",
        ).takeIf { item.floorSlots > item.queueRequests },
    )

private fun targetOverLimit(
    item: TrafficClass,
    target: String,
    value: Milliseconds?,
): ConfigurationFinding? {
    val limit = item.finishBy ?: return null
    if (value == null || value.value <= limit.value) return null
    return warning(
        "classes.${item.name}.$target",
        "${value.value} ms is more than finish_by, ${limit.value} ms",
        "lower the target or raise the limit",
    )
}

/**
 * The limits of rate and concurrency are at least 1 in a valid configuration and let a request pass. What can exclude
 * every request is the tier of an organisation, which takes precedence over the route's. Without routes, or with upstreams
 * in the configuration, requests may also name their class.
 */
private fun mayUseAnyRoute(
    organisation: Organisation,
    configuration: Configuration,
): Boolean {
    if (configuration.routes.isEmpty() || configuration.upstreams.isNotEmpty()) return true
    val routes = configuration.routes.filter { organisation.name != ANONYMOUS_ORGANISATION || it.anonymous }
    return routes.isEmpty() || routes.any { admits(it, organisation) }
}

/** Whether requests of [organisation] on [route] get a class that the organisation may use. */
private fun admits(
    route: RequestRoute,
    organisation: Organisation,
): Boolean = routeClassName(route.serviceLevel, organisation.tier ?: route.tier) in organisation.classes
