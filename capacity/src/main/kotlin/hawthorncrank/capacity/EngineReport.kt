package hawthorncrank.capacity

/**
 * What an engine reported of itself. [at] is the reader's monotonic time in milliseconds, [streams] are the requests that
 * the engine has admitted, by their identifier.
 */
data class EngineReport(
    val at: Long,
    val streams: Map<String, ReportedStream>,
) {
    val running: Int
        get() = streams.values.count { it.events > 0 }
}

/** [tokens] is what the stream holds of the engine's memory, [events] how many events it has produced. */
data class ReportedStream(
    val tokens: Int,
    val events: Int,
)
