package hawthorncrank.entry.core.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * The requests with a key that upstreams began to run, by window of true time and organisation. [windowLength] is in
 * milliseconds and null until a replica has asked for counts; [wanted] tells whether the replica of the present link has.
 * [unassigned] are those that began while true time or the length of the windows was not known. [begun] holds the numbers
 * of requests that were counted and are not over.
 */
internal data class UsageState(
    val windowLength: Long? = null,
    val wanted: Boolean = false,
    val trueTime: TrueTime = TrueTime(),
    val windows: PersistentMap<Long, PersistentMap<String, UsageCell>> = persistentMapOf(),
    val unassigned: PersistentList<UnassignedStart> = persistentListOf(),
    val begun: PersistentSet<Long> = persistentSetOf(),
    val sentAt: Long? = null,
    val purgedAt: Long = 0,
) {
    val allRecorded: Boolean
        get() = windows.values.all { cells -> cells.values.all { it.recorded >= it.count } }

    /** Changes one cell. The oldest windows are forgotten; the replicas have closed them long before. */
    fun change(
        window: Long,
        organisation: String,
        change: (UsageCell) -> UsageCell,
    ): UsageState {
        val cells = windows[window] ?: persistentMapOf()
        val changed = windows.put(window, cells.put(organisation, change(cells[organisation] ?: UsageCell())))
        val oldest = changed.keys.min()
        return copy(windows = if (changed.size > WINDOWS_KEPT) changed.remove(oldest) else changed)
    }

    fun changeExisting(
        window: Long,
        organisation: String,
        change: (UsageCell) -> UsageCell,
    ): UsageState = if (windows[window]?.get(organisation) == null) this else change(window, organisation, change)
}

/**
 * The requests that were counted, how many of them the replica of the present link was told, and how many the replicas
 * have committed or dropped.
 */
internal data class UsageCell(
    val count: Long = 0,
    val sent: Long = 0,
    val recorded: Long = 0,
)

/** A request that began to run at the monotonic time [at]. */
internal data class UnassignedStart(
    val at: Long,
    val organisation: String,
)

private const val WINDOWS_KEPT = 64
