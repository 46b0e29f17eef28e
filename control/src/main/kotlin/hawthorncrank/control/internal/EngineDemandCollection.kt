package hawthorncrank.control.internal

import hawthorncrank.protocol.EngineClassDemand
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The newest demand for engines that each linked entry reported to this replica, by link. */
internal data class EngineDemandCollection(
    val heard: PersistentMap<Long, HeardDemand> = persistentMapOf(),
    val proposedAt: Long? = null,
)

internal data class HeardDemand(
    val at: Long,
    val classes: List<EngineClassDemand>,
)
