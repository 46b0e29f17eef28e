package hawthorncrank.entry.core.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The prompt tokens that engines had to prefill for attempts since [sentAt], when the last report was sent or the replica of
 * the present link asked for reports. Nothing is counted unless they are [wanted].
 */
internal data class EngineDemandState(
    val wanted: Boolean = false,
    val prefillTokens: PersistentMap<DemandClass, Long> = persistentMapOf(),
    val sentAt: Long = 0,
)

/** The classes of a service that have the same targets and the same tier of their route. */
internal data class DemandClass(
    val service: String,
    val firstToken: Long?,
    val betweenTokens: Long?,
    val tier: Int,
)
