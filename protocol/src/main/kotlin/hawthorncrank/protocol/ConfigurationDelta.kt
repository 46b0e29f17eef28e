package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/**
 * The difference between two versions of the configuration. At the planned size a full configuration takes megabytes
 * and a typical change affects one organisation, so changes are sent as deltas, and only new or lagging entries get the
 * full configuration.
 */
@Serializable
data class ConfigurationDelta(
    val baseVersion: Long,
    val version: Long,
    val classes: NamedChanges<TrafficClass> = NamedChanges(),
    val organisations: NamedChanges<Organisation> = NamedChanges(),
    val upstreams: NamedChanges<Upstream> = NamedChanges(),
    val services: NamedChanges<ServiceRoute> = NamedChanges(),
    val routes: NamedChanges<RequestRoute> = NamedChanges(),
    val routeServices: NamedChanges<RouteService> = NamedChanges(),
    val weightStore: WeightStore? = null,
) {
    /** Returns the configuration of [version], given the one of [baseVersion]. */
    fun applyTo(base: Configuration): Configuration =
        Configuration(
            classes = classes.applyTo(base.classes, TrafficClass::name),
            organisations = organisations.applyTo(base.organisations, Organisation::name),
            upstreams = upstreams.applyTo(base.upstreams, Upstream::name),
            services = services.applyTo(base.services, ServiceRoute::name),
            routes = routes.applyTo(base.routes, RequestRoute::name),
            routeServices = routeServices.applyTo(base.routeServices, RouteService::name),
            weightStore = weightStore ?: base.weightStore,
        )
}

/** The elements of one named list that a change adds or replaces, and the names that it removes. */
@Serializable
data class NamedChanges<T>(
    val changed: List<T> = emptyList(),
    val removed: List<String> = emptyList(),
) {
    internal fun applyTo(
        base: List<T>,
        name: (T) -> String,
    ): List<T> {
        if (changed.isEmpty() && removed.isEmpty()) return base
        val replacedNames = removed.toSet() + changed.map(name)
        return (base.filter { name(it) !in replacedNames } + changed).sortedBy(name)
    }
}

/** Computes the delta from [base] to [next], both in canonical order. */
fun configurationDelta(
    baseVersion: Long,
    base: Configuration,
    version: Long,
    next: Configuration,
): ConfigurationDelta =
    ConfigurationDelta(
        baseVersion = baseVersion,
        version = version,
        classes = changesBetween(base.classes, next.classes, TrafficClass::name),
        organisations = changesBetween(base.organisations, next.organisations, Organisation::name),
        upstreams = changesBetween(base.upstreams, next.upstreams, Upstream::name),
        services = changesBetween(base.services, next.services, ServiceRoute::name),
        routes = changesBetween(base.routes, next.routes, RequestRoute::name),
        routeServices = changesBetween(base.routeServices, next.routeServices, RouteService::name),
        weightStore = next.weightStore.takeIf { it != base.weightStore },
    )

/** Orders every list by name, so that applying a delta gives exactly the version that it was computed from. */
fun Configuration.canonical(): Configuration =
    copy(
        classes = classes.sortedBy { it.name },
        organisations = organisations.sortedBy { it.name },
        upstreams = upstreams.sortedBy { it.name },
        services = services.sortedBy { it.name },
        routes = routes.sortedBy { it.name },
        routeServices = routeServices.sortedBy { it.name },
    )

private fun <T> changesBetween(
    base: List<T>,
    next: List<T>,
    name: (T) -> String,
): NamedChanges<T> {
    val before = base.associateBy(name)
    val names = next.mapTo(HashSet(), name)
    return NamedChanges(
        changed = next.filter { before[name(it)] != it },
        removed = base.map(name).filter { it !in names },
    )
}
