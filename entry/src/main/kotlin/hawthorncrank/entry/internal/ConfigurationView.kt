package hawthorncrank.entry.internal

import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.ServiceRoute
import hawthorncrank.protocol.TrafficClass

/** What traffic threads look up in the configuration in force. */
internal class ConfigurationView(
    val version: Long,
    val configuration: Configuration,
) {
    private val classes = configuration.classes.associateBy { it.name }
    private val serviceClasses = configuration.services.map { it.className }.toSet()
    private val routes = configuration.services.sortedByDescending { it.pathPrefix.length }

    fun trafficClass(name: String): TrafficClass? = classes[name]

    /** The route with the longest prefix of whole path segments. */
    fun route(path: String): ServiceRoute? =
        routes.firstOrNull { route ->
            val prefix = route.pathPrefix.trimEnd('/')
            path == prefix || path.startsWith("$prefix/")
        }

    fun firstModelClass(organisation: Organisation): String? =
        organisation.classes.firstOrNull { it !in serviceClasses }
}
