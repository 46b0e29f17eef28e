package hawthorncrank.control.internal

import hawthorncrank.control.ControlSettings
import hawthorncrank.control.Duty
import hawthorncrank.control.UsageCounter
import hawthorncrank.control.knownDuties
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What a replica with the duty of usage reports knows besides the replicated state. [waiting] are the counts of its entries
 * that are not applied yet; [senders] are the links on which the starts of entries send. [command] is the proposal in
 * progress. [lateCells] and [lateRequests] count what arrived here after its window was closed.
 */
internal data class UsageCollection(
    val rules: UsageRules,
    val clock: UsageClock = UsageClock(),
    val waiting: PersistentMap<WindowCounter, Long> = persistentMapOf(),
    val senders: PersistentMap<String, Long> = persistentMapOf(),
    val command: String? = null,
    val proposeAt: Long = 0,
    val lateCells: Long = 0,
    val lateRequests: Long = 0,
)

/** The length of a window and how long after its end it is closed, in milliseconds. */
internal data class UsageRules(
    val window: Long,
    val closeDelay: Long,
) {
    fun windowAt(trueTime: Long): Long = Math.floorDiv(trueTime, window)

    fun closesAt(number: Long): Long = (number + 1) * window + closeDelay
}

internal data class WindowCounter(
    val window: Long,
    val counter: UsageCounter,
)

/** How usage is collected; null if the replicas do not have the duty of usage reports. */
internal fun ControlSettings.usageRules(): UsageRules? {
    val window = usageWindow?.value?.takeIf { Duty.USAGE_REPORT in knownDuties && it > 0 } ?: return null
    val deadline = usageDeadline?.value ?: (2 * window)
    return UsageRules(window, maxOf(0, deadline - REPORT_MILLISECONDS))
}

// After the close, an election, the lease that a new holder waits and a call must fit before the deadline.
private const val REPORT_MILLISECONDS = 5_000L
