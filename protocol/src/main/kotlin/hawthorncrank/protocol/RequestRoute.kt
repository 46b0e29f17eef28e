package hawthorncrank.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Sends the requests of a host whose path begins with [pathPrefix] to services, chosen by weight. A request is served in
 * the traffic class that [routeClassName] gives for [serviceLevel] and the tier of its organisation or of the route.
 * [engineAttempts] bounds the upstreams to which one request may be sent.
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

/** How often the request of one caller may run. */
@Serializable
enum class Repetition {
    @SerialName("idempotent")
    IDEMPOTENT,

    @SerialName("at_most_once")
    AT_MOST_ONCE,

    /** A stream that may go on at another engine behind the last event that its caller has. */
    @SerialName("resumable")
    RESUMABLE,
}

/** A service that routes lead to. Its upstreams come from the platform's list; [servesModels] tells engines from others. */
@Serializable
data class RouteService(
    val name: String,
    @SerialName("serves_models")
    val servesModels: Boolean = false,
)

/** The name of the traffic class of a service level in a tier. */
fun routeClassName(
    serviceLevel: String,
    tier: Int,
): String = "$serviceLevel tier $tier"

/** The organisation under which requests without a key run on routes that allow them. */
const val ANONYMOUS_ORGANISATION = "anonymous"
