package hawthorncrank.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Routes the requests for [host] whose path begins with [pathPrefix] to services, chosen by weight. A request belongs
 * to the traffic class that [routeClassName] gives for [serviceLevel] and the tier of its organisation or of the route.
 * [engineAttempts] limits the number of upstreams to which one request may be sent.
 */
@Serializable
data class RequestRoute(
    val name: String,
    val host: String,
    @SerialName("path_prefix")
    val pathPrefix: String,
    @SerialName("service_level")
    val serviceLevel: String,
    val tier: Int,
    val destinations: List<Destination>,
    val repetition: Repetition,
    val streamed: Boolean = false,
    @SerialName("engine_attempts")
    val engineAttempts: Int = 1,
    val anonymous: Boolean = false,
)

/** A service and its share of a route's requests. */
@Serializable
data class Destination(
    val service: String,
    val weight: Int = 1,
)

/** Whether a request may run more than once. */
@Serializable
enum class Repetition {
    @SerialName("idempotent")
    IDEMPOTENT,

    @SerialName("at_most_once")
    AT_MOST_ONCE,

    /** A stream that may continue on another engine after the last event that its caller received. */
    @SerialName("resumable")
    RESUMABLE,
}

/**
 * A destination of routes, with upstreams from the platform's list. [servesModels] means that they are engines. Their
 * number is changed only if there is a [scaling].
 */
@Serializable
data class RouteService(
    val name: String,
    @SerialName("serves_models")
    val servesModels: Boolean = false,
    val scaling: EngineScaling? = null,
)

/** The name of the traffic class of a service level in a tier. */
fun routeClassName(
    serviceLevel: String,
    tier: Int,
): String = "$serviceLevel tier $tier"

/** The organisation of requests without a key, on routes that allow such requests. */
const val ANONYMOUS_ORGANISATION = "anonymous"
