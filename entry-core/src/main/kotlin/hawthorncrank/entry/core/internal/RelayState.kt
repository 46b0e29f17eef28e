package hawthorncrank.entry.core.internal

import hawthorncrank.protocol.Relay
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * Which other entries may relay requests while this one cannot reach upstreams. [askedAt] is when control was last asked
 * for them, and [avoided] holds the time until which an entry gets no requests because it could not relay one.
 */
internal data class RelayState(
    val known: PersistentList<Relay> = persistentListOf(),
    val askedAt: Long? = null,
    val avoided: PersistentMap<String, Long> = persistentMapOf(),
)
