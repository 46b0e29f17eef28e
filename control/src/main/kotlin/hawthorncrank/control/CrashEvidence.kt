@file:UseSerializers(PersistentMapSerializer::class)

package hawthorncrank.control

import hawthorncrank.control.internal.PersistentMapSerializer
import hawthorncrank.protocol.UnansweredRequest
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers

/**
 * What entries reported about engines that crashed: the newest [crashes] by number, and when engines last [began] to
 * answer requests with contents that were under suspicion. Times are on the replicated clock.
 */
@Serializable
data class CrashEvidence(
    val crashes: PersistentMap<Long, CrashRecord> = persistentMapOf(),
    val began: PersistentMap<String, Long> = persistentMapOf(),
    val nextNumber: Long = 1,
)

/** The requests that [engine] had not begun to answer when it crashed at [at], as far as entries have reported them. */
@Serializable
data class CrashRecord(
    val engine: String,
    val at: Long,
    val requests: List<UnansweredRequest>,
)
