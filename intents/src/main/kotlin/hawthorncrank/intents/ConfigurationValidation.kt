package hawthorncrank.intents

import hawthorncrank.common.KeyHash
import hawthorncrank.intents.ConfigurationFailure.DuplicateName
import hawthorncrank.intents.ConfigurationFailure.InvalidName
import hawthorncrank.intents.ConfigurationFailure.InvalidValue
import hawthorncrank.intents.ConfigurationFailure.MalformedAddress
import hawthorncrank.intents.ConfigurationFailure.MalformedKeyHash
import hawthorncrank.intents.ConfigurationFailure.Missing
import hawthorncrank.intents.ConfigurationFailure.OutOfRange
import hawthorncrank.intents.ConfigurationFailure.UnknownReference
import hawthorncrank.intents.internal.validateScaling
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.RequestRoute
import hawthorncrank.protocol.ServiceRoute
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.protocol.routeClassName

/** Returns the errors of a configuration; an empty list means that it is valid. */
fun validateConfiguration(configuration: Configuration): List<ConfigurationFailure> {
    val classes = configuration.classes.mapTo(HashSet()) { it.name }
    val services = configuration.services.mapTo(HashSet()) { it.service }
    return validateNotEmpty(configuration) +
        validateNames("classes", configuration.classes.map { it.name }) +
        validateNames("organisations", configuration.organisations.map { it.name }) +
        validateNames("upstreams", configuration.upstreams.map { it.name }) +
        validateNames("services", configuration.services.map { it.name }) +
        validateNames("routes", configuration.routes.map { it.name }) +
        validateNames("route_services", configuration.routeServices.map { it.name }) +
        validateRoutes(configuration, classes) +
        configuration.routeServices.flatMap(::validateScaling) +
        validateKeyOwners(configuration.organisations) +
        configuration.classes.flatMap(::validateClass) +
        configuration.organisations.flatMap { validateOrganisation(it, classes) } +
        configuration.upstreams.flatMap { validateUpstream(it, services) } +
        configuration.services.flatMap { validateService(it, classes) } +
        validateRange(
            "weight_store.loads_per_minute",
            configuration.weightStore.loadsPerMinute,
            1,
            MAXIMUM_LOADS_PER_MINUTE,
        )
}

private fun validateNotEmpty(configuration: Configuration): List<ConfigurationFailure> =
    listOfNotNull(
        Missing("classes", "add at least one [[classes]] table").takeIf { configuration.classes.isEmpty() },
        Missing("organisations", "add at least one [[organisations]] table, or nobody may call")
            .takeIf { configuration.organisations.isEmpty() && configuration.routes.none { it.anonymous } },
    )

private fun validateRoutes(
    configuration: Configuration,
    classes: Set<String>,
): List<ConfigurationFailure> {
    val services = configuration.routeServices.mapTo(HashSet()) { it.name }
    val seen = HashSet<Pair<String, String>>()
    val duplicates = configuration.routes.filter { !seen.add(it.host.lowercase() to it.pathPrefix) }
    return duplicates.map { DuplicateName("routes.path_prefix", "${it.host}${it.pathPrefix}") } +
        configuration.routes.flatMap { validateRoute(it, services, classes) }
}

private fun validateRoute(
    item: RequestRoute,
    services: Set<String>,
    classes: Set<String>,
): List<ConfigurationFailure> {
    val field = "routes.${item.name}"
    val className = routeClassName(item.serviceLevel, item.tier)
    return listOfNotNull(
        InvalidValue("$field.path_prefix", "\"${item.pathPrefix}\" is not a prefix", "begin it with a slash")
            .takeIf { !item.pathPrefix.startsWith("/") },
        UnknownReference("$field.service_level", className, "class").takeIf { className !in classes },
        InvalidValue("$field.destinations", "the weights add up to nothing", "give a destination a positive weight")
            .takeIf { item.destinations.none { it.weight > 0 } },
    ) +
        item.destinations.map { it.service }.filter { it !in services }.map {
            UnknownReference("$field.destinations", it, "route service")
        } +
        validateRange("$field.engine_attempts", item.engineAttempts, 1, MAXIMUM_SLOTS)
}

private fun validateKeyOwners(organisations: List<Organisation>): List<ConfigurationFailure> {
    val owners = HashMap<String, String>()
    return organisations.flatMap { organisation ->
        organisation.keyHashes.filter { KeyHash.isDigest(it) }.mapNotNull { hash ->
            owners.put(hash, organisation.name)?.takeIf { it != organisation.name }?.let {
                InvalidValue(
                    "organisations.${organisation.name}.api_key_hashes",
                    "organisation \"$it\" has the same key",
                    "give each organisation keys of its own",
                )
            }
        }
    }
}

private fun validateNames(
    field: String,
    names: List<String>,
): List<ConfigurationFailure> {
    val seen = HashSet<String>()
    return names.filter { !seen.add(it) }.distinct().map { DuplicateName(field, it) } +
        names.filter { !NAME.matches(it) }.map { InvalidName(field, it) }
}

private fun validateClass(item: TrafficClass): List<ConfigurationFailure> {
    val field = "classes.${item.name}"
    val targets =
        listOfNotNull(
            item.firstToken?.let { "first_token" to it.value },
            item.betweenTokens?.let { "between_tokens" to it.value },
            item.finishBy?.let { "finish_by" to it.value },
        )
    return validateRange("$field.tier", item.tier, HIGHEST_TIER, LOWEST_TIER) +
        validateRange("$field.floor_slots", item.floorSlots, 1, MAXIMUM_SLOTS) +
        validateRange("$field.queue_requests", item.queueRequests, 1, MAXIMUM_QUEUE_REQUESTS) +
        validateRange("$field.queue_size", item.queueSize.bytes, 1, MAXIMUM_QUEUE_BYTES) +
        targets.flatMap { (name, value) -> validateRange("$field.$name", value, 1, MAXIMUM_TARGET_MILLISECONDS) }
}

private fun validateOrganisation(
    item: Organisation,
    classes: Set<String>,
): List<ConfigurationFailure> {
    val field = "organisations.${item.name}"
    return listOfNotNull(
        Missing("$field.region", "write the region whose engines are nearest").takeIf { item.region.isBlank() },
        Missing("$field.classes", "write the classes that the organisation may use").takeIf { item.classes.isEmpty() },
        MalformedKeyHash("$field.api_key_hashes").takeIf { item.keyHashes.any { !KeyHash.isWellFormed(it) } },
    ) +
        item.classes.filter { it !in classes }.map { UnknownReference("$field.classes", it, "class") } +
        validateRange("$field.weight", item.weight, 1, MAXIMUM_WEIGHT) +
        validateRange("$field.requests_in_flight", item.requestsInFlight, 1, MAXIMUM_LIMIT) +
        validateRange("$field.requests_per_second", item.requestsPerSecond, 1, MAXIMUM_LIMIT) +
        validateRange("$field.tokens_per_second", item.tokensPerSecond, 1, MAXIMUM_TOKENS_PER_SECOND)
}

private fun validateUpstream(
    item: Upstream,
    services: Set<String>,
): List<ConfigurationFailure> {
    val field = "upstreams.${item.name}"
    return listOfNotNull(
        MalformedAddress("$field.address", item.address).takeIf { !isAddress(item.address) },
        Missing("$field.availability_zone", "write the zone of its VM").takeIf { item.availabilityZone.isBlank() },
        Missing("$field.region", "write the region of its VM").takeIf { item.region.isBlank() },
    ) + validateRange("$field.slots", item.slots, 1, MAXIMUM_SLOTS) + validateKind(field, item, services)
}

private fun validateKind(
    field: String,
    item: Upstream,
    services: Set<String>,
): List<ConfigurationFailure> {
    val service = item.service
    return when (item.kind) {
        UpstreamKind.ENGINE ->
            listOfNotNull(
                InvalidValue("$field.service", "an engine serves no service", "remove it or write kind = \"service\"")
                    .takeIf { service != null },
            )

        UpstreamKind.SERVICE ->
            listOfNotNull(
                Missing("$field.service", "write the name of a service").takeIf { service == null },
                service?.takeIf { it !in services }?.let { UnknownReference("$field.service", it, "service") },
                InvalidValue("$field.models", "a service serves no models", "remove them or write kind = \"engine\"")
                    .takeIf { item.models.isNotEmpty() },
            )
    }
}

private fun validateService(
    item: ServiceRoute,
    classes: Set<String>,
): List<ConfigurationFailure> {
    val field = "services.${item.name}"
    return listOfNotNull(
        UnknownReference("$field.class", item.className, "class").takeIf { item.className !in classes },
        InvalidValue("$field.path_prefix", "\"${item.pathPrefix}\" is not a path", "begin it with a slash")
            .takeIf { !item.pathPrefix.startsWith("/") },
    )
}

/** Whether [text] is an IP address and a port. Host names are not accepted: processes connect by address. */
fun isAddress(text: String): Boolean {
    val match = ADDRESS.matchEntire(text) ?: return false
    val numbers = match.groupValues.drop(1).map(String::toInt)
    return numbers.dropLast(1).all { it <= MAXIMUM_ADDRESS_PART } && numbers.last() in 1..MAXIMUM_PORT
}

private fun validateRange(
    field: String,
    value: Number,
    minimum: Number,
    maximum: Number,
): List<ConfigurationFailure> {
    if (value.toLong() in minimum.toLong()..maximum.toLong()) return emptyList()
    return listOf(OutOfRange(field, value.toLong(), minimum.toLong(), maximum.toLong()))
}

/** The highest number of slots that an upstream may have. */
const val MAXIMUM_SLOTS = 4_096

private const val MAXIMUM_QUEUE_REQUESTS = 100_000
private const val MAXIMUM_QUEUE_BYTES = 1L shl 30
private const val MAXIMUM_TARGET_MILLISECONDS = 24L * 60 * 60 * 1_000
private const val MAXIMUM_WEIGHT = 1_000
private const val MAXIMUM_LIMIT = 100_000
private const val MAXIMUM_TOKENS_PER_SECOND = 100_000_000
private const val MAXIMUM_LOADS_PER_MINUTE = 6_000
private const val MAXIMUM_ADDRESS_PART = 255
private const val MAXIMUM_PORT = 65_535
private val NAME = Regex("""[\p{L}\p{N} ._-]{1,64}""")
private val ADDRESS = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})""")
