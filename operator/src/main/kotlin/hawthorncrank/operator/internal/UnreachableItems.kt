package hawthorncrank.operator.internal

import hawthorncrank.protocol.ANONYMOUS_ORGANISATION
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.RequestRoute
import hawthorncrank.protocol.ServiceRoute

/** Finds items that no request can match. Routes with the same host and prefix are errors and not repeated here. */
internal fun findUnreachable(configuration: Configuration): List<ConfigurationFinding> =
    hiddenServices(configuration.services) +
        configuration.routes.flatMap(::unreachableByRoute) +
        unusedRouteServices(configuration) +
        unusedClasses(configuration) +
        configuration.organisations.mapNotNull { unusedOrganisation(it, configuration.routes) }

/** Entries compare prefixes without a slash at the end and use the longest, or else the first by name. */
private fun hiddenServices(services: List<ServiceRoute>): List<ConfigurationFinding> =
    services
        .groupBy { it.pathPrefix.trimEnd('/') }
        .values
        .flatMap { same ->
            val matched = same.maxBy { it.pathPrefix.length }
            same.filter { it !== matched }.map {
                warning(
                    "services.${it.name}.path_prefix",
                    "service \"${matched.name}\" takes every request for ${it.pathPrefix}",
                    "give each service its own prefix or remove one",
                )
            }
        }

private fun unreachableByRoute(route: RequestRoute): List<ConfigurationFinding> {
    val field = "routes.${route.name}"
    val withoutShare =
        route.destinations.filter { it.weight <= 0 }.map {
            val remedy = "give it a positive weight or remove it"
            warning("$field.destinations", "\"${it.service}\" with weight ${it.weight} gets no request", remedy)
        }
    if (':' !in route.host) return withoutShare
    return withoutShare +
        warning("$field.host", "requests are matched without their port", "write the host without a port")
}

private fun unusedRouteServices(configuration: Configuration): List<ConfigurationFinding> {
    val used = configuration.routes.flatMapTo(HashSet()) { route -> route.destinations.map { it.service } }
    return configuration.routeServices.filter { it.name !in used }.map {
        warning("route_services.${it.name}", "no route leads to it", "add a route or remove it")
    }
}

private fun unusedClasses(configuration: Configuration): List<ConfigurationFinding> {
    val used = configuration.organisations.flatMapTo(HashSet()) { it.classes }
    return configuration.classes.filter { it.name !in used }.map {
        warning("classes.${it.name}", "no organisation may use it", "add it to an organisation or remove it")
    }
}

private fun unusedOrganisation(
    organisation: Organisation,
    routes: List<RequestRoute>,
): ConfigurationFinding? {
    val field = "organisations.${organisation.name}"
    if (organisation.name == ANONYMOUS_ORGANISATION && routes.any { it.anonymous }) return null
    if (organisation.keyHashes.isNotEmpty()) return null
    return warning(field, "it has no key, so no request can belong to it", "add a key hash or remove it")
}
