package hawthorncrank.entry.core.internal

import hawthorncrank.protocol.ServiceVersion
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Which version of the upstreams' software began the streams of this entry. [software] holds the versions of the listed
 * upstreams, and [lastListed] when each version of a service was last listed.
 */
internal data class StreamsState(
    val begun: RecentMap<String, BegunStream> = RecentMap(BEGUN_LIMIT),
    val software: PersistentMap<String, String> = persistentMapOf(),
    val lastListed: PersistentMap<ServiceVersion, Long> = persistentMapOf(),
)

internal data class BegunStream(
    val software: String,
    val at: Long,
)

private const val BEGUN_LIMIT = 4_000
