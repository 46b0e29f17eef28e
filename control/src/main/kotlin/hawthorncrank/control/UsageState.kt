@file:UseSerializers(PersistentMapSerializer::class)
@file:OptIn(ExperimentalSerializationApi::class)

package hawthorncrank.control

import hawthorncrank.control.internal.PersistentMapSerializer
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import kotlinx.serialization.cbor.CborLabel

/**
 * The requests that upstreams began to run, by window of true time. [counted] holds the highest count reported by each start
 * of an entry and organisation, for windows after [closedThrough]. [closed] holds the reports of the newest closed windows.
 */
@Serializable
data class UsageState(
    val counted: PersistentMap<Long, PersistentMap<UsageCounter, Long>> = persistentMapOf(),
    val closedThrough: Long? = null,
    val closed: PersistentMap<Long, UsageReport> = persistentMapOf(),
) {
    /** The number of closed windows whose reports the platform has not accepted. */
    internal val undelivered: Int
        get() = closed.values.count { !it.delivered }
}

/** One start of an entry and one organisation. */
@Serializable
data class UsageCounter(
    @CborLabel(1) val entryStart: String,
    @CborLabel(2) val organisation: String,
)

/** The final counts of a window by organisation. They never change after the window was closed. */
@Serializable
data class UsageReport(
    val counts: Map<String, Long>,
    val delivered: Boolean = false,
)

/** The count of one organisation's requests in one window, as one start of an entry reported it. */
@Serializable
data class UsageCell(
    @CborLabel(1) val window: Long,
    @CborLabel(2) val counter: UsageCounter,
    @CborLabel(3) val count: Long,
)
