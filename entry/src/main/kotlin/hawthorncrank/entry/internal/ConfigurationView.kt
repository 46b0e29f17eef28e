package hawthorncrank.entry.internal

import hawthorncrank.protocol.ANONYMOUS_ORGANISATION
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.RequestRoute
import hawthorncrank.protocol.ServiceRoute
import hawthorncrank.protocol.TrafficClass

/** An applied configuration with the indexes for looking up routes, classes and services of a request. */
internal class ConfigurationView(
    val version: Long,
    val configuration: Configuration,
) {
    private val classes = configuration.classes.associateBy { it.name }
    private val serviceClasses = configuration.services.map { it.className }.toSet()
    private val serviceRoutes = configuration.services.sortedByDescending { it.pathPrefix.length }

    private val requestRoutes =
        configuration.routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val modelServices = configuration.routeServices.filter { it.servesModels }.mapTo(HashSet()) { it.name }

    val organisations = OrganisationKeys(configuration.organisations)

    /** The organisation of requests without a key, on routes that allow them. */
    val anonymous: Organisation? = configuration.organisations.firstOrNull { it.name == ANONYMOUS_ORGANISATION }

    /** Returns the host's route with the longest prefix that matches the start of the path. */
    fun requestRoute(
        host: String?,
        path: String,
    ): RequestRoute? =
        requestRoutes[host?.substringBefore(':')?.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    fun servesModels(service: String): Boolean = service in modelServices

    fun trafficClass(name: String): TrafficClass? = classes[name]

    /** Returns the service route with the longest prefix that matches complete path segments. */
    fun serviceRoute(path: String): ServiceRoute? =
        serviceRoutes.firstOrNull { route ->
            val prefix = route.pathPrefix.trimEnd('/')
            path == prefix || path.startsWith("$prefix/")
        }

    fun firstModelClass(organisation: Organisation): String? =
        organisation.classes.firstOrNull { it !in serviceClasses }
}
