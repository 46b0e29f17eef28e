package hawthorncrank.control.internal

import hawthorncrank.capacity.EngineSpeeds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** What the leader has read of engines: their [speeds] by service, and when each is read next. */
internal data class EngineReadings(
    val speeds: PersistentMap<String, EngineSpeeds> = persistentMapOf(),
    val schedules: PersistentMap<String, ReadingSchedule> = persistentMapOf(),
    /** Whether reports came since the engines were last compared. */
    val changed: Boolean = false,
    /** The engines whose speed was known enough to compare them. */
    val compared: Set<String> = emptySet(),
)

/** The [readings] of one engine that had streams, and how many of the last readings in a row were [failures]. */
internal data class ReadingSchedule(
    val nextAt: Long,
    val askedAt: Long? = null,
    val readings: Int = 0,
    val failures: Int = 0,
)
