package hawthorncrank.protocol

import hawthorncrank.common.ByteSize
import hawthorncrank.common.Milliseconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The configuration of the whole fleet. Operators change it, the control group versions it and every entry applies it.
 * People write it as TOML, processes exchange it as CBOR. Its lists are never modified.
 */
@Serializable
data class Configuration(
    val classes: List<TrafficClass> = emptyList(),
    val organisations: List<Organisation> = emptyList(),
    val upstreams: List<Upstream> = emptyList(),
    val services: List<ServiceRoute> = emptyList(),
    val routes: List<RequestRoute> = emptyList(),
    @SerialName("route_services")
    val routeServices: List<RouteService> = emptyList(),
    @SerialName("weight_store")
    val weightStore: WeightStore = WeightStore(),
)

/** A class of traffic. Tier 1 is the highest. A latency target that is null is not measured. */
@Serializable
data class TrafficClass(
    val name: String,
    val tier: Int,
    @SerialName("first_token")
    val firstToken: Milliseconds? = null,
    @SerialName("between_tokens")
    val betweenTokens: Milliseconds? = null,
    @SerialName("finish_by")
    val finishBy: Milliseconds? = null,
    @SerialName("floor_slots")
    val floorSlots: Int = 1,
    @SerialName("queue_requests")
    val queueRequests: Int = 500,
    @SerialName("queue_size")
    val queueSize: ByteSize = ByteSize(16L shl 20),
)

/**
 * An organisation: the classes that it may use, its weight in fair scheduling and its limits at each entry. Its own
 * [tier], if set, takes precedence over the tier of a request's route.
 */
@Serializable
data class Organisation(
    val name: String,
    val region: String,
    val classes: List<String>,
    @SerialName("api_key_hashes")
    val keyHashes: List<String>,
    val weight: Int = 1,
    @SerialName("requests_in_flight")
    val requestsInFlight: Int = 200,
    @SerialName("requests_per_second")
    val requestsPerSecond: Int = 100,
    @SerialName("tokens_per_second")
    val tokensPerSecond: Int = 20_000,
    val tier: Int? = null,
)

@Serializable
enum class UpstreamKind {
    @SerialName("engine")
    ENGINE,

    @SerialName("service")
    SERVICE,
}

/** A backend. Engines serve [models]; plain HTTP services serve the routes whose service is [service]. */
@Serializable
data class Upstream(
    val name: String,
    val kind: UpstreamKind,
    val address: String,
    @SerialName("availability_zone")
    val availabilityZone: String,
    val region: String,
    val models: List<String> = emptyList(),
    val service: String? = null,
    val slots: Int = 64,
    @SerialName("checks_fencing")
    val checksFencing: Boolean = false,
    @SerialName("resumes_streams")
    val resumesStreams: Boolean = false,
    val leaving: Boolean = false,
)

/** A path of a plain HTTP service. Calls whose method is not in [idempotentMethods] need an idempotency key. */
@Serializable
data class ServiceRoute(
    val name: String,
    @SerialName("path_prefix")
    val pathPrefix: String,
    @SerialName("class")
    val className: String,
    @SerialName("idempotent_methods")
    val idempotentMethods: List<String> = listOf("GET", "HEAD"),
    @SerialName("service")
    private val namedService: String? = null,
) {
    /** The service whose upstreams run the calls of this route. Several routes may share one. */
    val service: String
        get() = namedService ?: name
}

/** The rate limit of the weight store that all model loads share. */
@Serializable
data class WeightStore(
    @SerialName("loads_per_minute")
    val loadsPerMinute: Int = 6,
)
