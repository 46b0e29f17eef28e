package hawthorncrank.protocol

/** A version of the software with which upstreams serve [service]. */
data class ServiceVersion(
    val service: String,
    val software: String,
)

/** The version that this upstream has, or null if the platform does not tell. */
val ListedUpstream.serviceVersion: ServiceVersion?
    get() = software?.let { ServiceVersion(service, it) }
