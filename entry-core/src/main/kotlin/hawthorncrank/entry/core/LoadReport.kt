package hawthorncrank.entry.core

/** The load of an engine as it reports it. [sequence] increases with every report of one engine process. */
data class LoadReport(
    val sequence: Long,
    val running: Int,
    val queued: Int,
    val slots: Int,
    val tokenIntervalMilliseconds: Double?,
)
