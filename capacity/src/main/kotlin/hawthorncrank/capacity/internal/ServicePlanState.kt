package hawthorncrank.capacity.internal

import hawthorncrank.capacity.EnginePool
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * [samples] of demand, [needs] and [listed] counts are those of the last seconds, in the order of their times.
 * [observedDelay] is the time from an order until the list had its engines.
 */
internal data class ServicePlanState(
    val firstSampleAt: Long? = null,
    val samples: PersistentList<DemandSample> = persistentListOf(),
    val needs: PersistentList<TimedNeed> = persistentListOf(),
    val listed: PersistentList<ListedSample> = persistentListOf(),
    val pools: PersistentMap<EnginePool, PoolState> = persistentMapOf(),
    val observedDelay: Long = 0,
    val reducedAt: Long? = null,
)

/** Engines needed by class. */
internal data class DemandSample(
    val at: Long,
    val entries: Int,
    val classes: Map<String, ClassLoad>,
)

/** [prefill] and [waiting] are in engines, [streams] in running streams. */
internal data class ClassLoad(
    val tier: Int,
    val firstToken: Long?,
    val prefill: Double,
    val waiting: Double,
    val streams: Int,
)

internal data class TimedNeed(
    val at: Long,
    val need: EngineNeed,
)

/** [total] engines are to be left after the loss of any one zone's reclaimable engines, and [regular] ones without any. */
internal data class EngineNeed(
    val total: Int,
    val regular: Int,
)

internal data class ListedSample(
    val at: Long,
    val ready: Map<EnginePool, Int>,
)

/**
 * The order of a pool that was seen last, with its [number]. [reached] tells whether the list has had its engines since,
 * and [missingSince] when it had fewer than that again. After a refusal or a loss no more engines are ordered until
 * [blockedUntil].
 */
internal data class PoolState(
    val number: Long,
    val count: Int,
    val orderedAt: Long,
    val reached: Boolean = false,
    val missingSince: Long? = null,
    val refused: Boolean = false,
    val blockedUntil: Long = Long.MIN_VALUE,
    val blockedFor: Long = 0,
)
