package hawthorncrank.protocol

/** A version of the software with which upstreams serve [service]. */
data class ServiceVersion(
    val service: String,
    val software: String,
)

/** The version that this upstream has, or null if the platform does not tell. */
val ListedUpstream.serviceVersion: ServiceVersion?
    get() = software?.let { ServiceVersion(service, it) }

/**
 * How long entries and replicas keep which version began a stream, in milliseconds: longer than callers wait for a stream,
 * with the time in which they take it up again.
 */
const val STREAM_LIFETIME_MILLISECONDS = 60_000L
