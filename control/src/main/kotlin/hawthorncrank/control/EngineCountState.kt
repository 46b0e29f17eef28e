@file:UseSerializers(PersistentMapSerializer::class)

package hawthorncrank.control

import hawthorncrank.control.internal.PersistentMapSerializer
import hawthorncrank.protocol.EngineClassDemand
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers

/**
 * The numbers of engines that were ordered from the platform, and the newest demand that each replica collected from its
 * entries. An order is stored before it is sent.
 */
@Serializable
data class EngineCountState(
    val orders: PersistentMap<EngineGroup, EngineCountOrder> = persistentMapOf(),
    val demand: PersistentMap<String, RecordedDemand> = persistentMapOf(),
) {
    internal fun ordered(reclaimable: Boolean): Int =
        orders.entries.filter { it.key.reclaimable == reclaimable }.sumOf { it.value.count }
}

/** Demand by class, summed over [entries] entries. It was recorded at [clock] of the replicated clock. */
@Serializable
data class RecordedDemand(
    val clock: Long,
    val entries: Int,
    val classes: List<EngineClassDemand>,
)

/** The engines of a service in one availability zone. [reclaimable] ones may be taken away by the platform. */
@Serializable
data class EngineGroup(
    val service: String,
    val availabilityZone: String,
    val reclaimable: Boolean,
)

/** An order for [count] engines. [number] is the index of its record in the replicated log. */
@Serializable
data class EngineCountOrder(
    val count: Int,
    val number: Long,
    val status: EngineCountStatus = EngineCountStatus.UNSENT,
)

/** [REFUSED] means that no engines of this kind were to be had. */
@Serializable
enum class EngineCountStatus { UNSENT, ACCEPTED, REFUSED }
