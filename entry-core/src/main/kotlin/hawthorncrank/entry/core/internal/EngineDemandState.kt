package hawthorncrank.entry.core.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The prompt tokens that engines had to prefill for attempts since the last report, which was sent at [sentAt]. */
internal data class EngineDemandState(
    val prefillTokens: PersistentMap<DemandClass, Long> = persistentMapOf(),
    val sentAt: Long? = null,
)

/** The classes of a service that have the same targets and the same tier of their route. */
internal data class DemandClass(
    val service: String,
    val firstToken: Long?,
    val betweenTokens: Long?,
    val tier: Int,
)
