package hawthorncrank.control.internal

import hawthorncrank.protocol.STREAM_LIFETIME_MILLISECONDS
import hawthorncrank.protocol.ServiceVersion
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/**
 * Which version of the upstreams' software began each recent stream, as entries or other replicas reported, and when each
 * version of a service was last listed. [recent] and [older] are generations, so that old streams are dropped at once.
 */
internal data class StreamOrigins(
    private val recent: PersistentMap<String, String> = persistentMapOf(),
    private val older: PersistentMap<String, String> = persistentMapOf(),
    private val turnedAt: Long = 0,
    private val lastListed: PersistentMap<ServiceVersion, Long> = persistentMapOf(),
) {
    fun softwareOf(stream: String): String? = recent[stream] ?: older[stream]

    fun begun(
        stream: String,
        software: String,
        now: Long,
    ): StreamOrigins {
        val turns = now - turnedAt >= STREAM_LIFETIME_MILLISECONDS || recent.size >= GENERATION_LIMIT
        val current = if (turns) copy(recent = persistentMapOf(), older = recent, turnedAt = now) else this
        return current.copy(recent = current.recent.put(stream, software))
    }

    /** Notes that the platform lists upstreams with these [versions] now. */
    fun listed(
        versions: Set<ServiceVersion>,
        now: Long,
    ): StreamOrigins {
        val kept = lastListed.filterValues { now - it < STREAM_LIFETIME_MILLISECONDS }
        return copy(lastListed = (kept + versions.associateWith { now }).toPersistentMap())
    }

    fun versionsOf(service: String): Int = lastListed.keys.count { it.service == service }
}

// Streams of a minute at twice the planned rate.
private const val GENERATION_LIMIT = 150_000
