package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CancelReason
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The attempts whose end the traffic threads have not reported yet. Attempt numbers increase and are never reused. */
internal data class AttemptsState(
    val running: PersistentMap<Long, RunningAttempt> = persistentMapOf(),
    val nextNumber: Long = 1,
) {
    fun on(upstream: String): List<RunningAttempt> = running.values.filter { it.upstream == upstream }
}

/**
 * [suspect] is set if the content was suspected of crashing engines when the attempt started; it then shares its engine
 * with no other suspect. [billedTo] is the organisation for which the request counts in usage reports, if any. A [cancelled]
 * attempt still counts as running on its upstream until its end is reported. The [upstream] of a [relayed] attempt is
 * another entry, which counts the work on its upstreams. [software] is the version of the upstream's software.
 */
internal data class RunningAttempt(
    val number: Long,
    val requestNumber: Long,
    val className: String,
    val contentDigest: String,
    val upstream: String,
    val startedAt: Long,
    val priority: Int,
    val suspect: Boolean = false,
    val billedTo: String? = null,
    val firstByteAt: Long? = null,
    val tokens: Int = 0,
    val bytes: Long = 0,
    val cancelled: Cancellation? = null,
    val relayed: Boolean = false,
    val software: String? = null,
)

/** Request content and the upstream that it runs on or is about to run on. */
internal data class PlacedContent(
    val contentDigest: String,
    val upstream: String,
)

internal data class Cancellation(
    val reason: CancelReason,
    val at: Long,
)
