package hawthorncrank.entry.core

/** An engine's own view of its load. [sequence] rises with every report of one engine process. */
data class LoadReport(
    val sequence: Long,
    val running: Int,
    val queued: Int,
    val slots: Int,
    val tokenIntervalMilliseconds: Double?,
)
