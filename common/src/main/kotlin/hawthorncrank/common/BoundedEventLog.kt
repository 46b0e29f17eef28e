package hawthorncrank.common

import org.apache.logging.log4j.Level

/**
 * Bounds what a process logs under load: of records below a warning, a fixed number is written each second. What is left
 * out, here or by the queue behind [write], is counted, and a record says so at most once a second.
 */
internal class BoundedEventLog(
    private val clock: MillisecondClock,
    private val droppedByQueue: () -> Long,
    private val write: (EventCode, Map<String, Any?>) -> Unit,
) : EventLog {
    private var second = Long.MIN_VALUE
    private var writtenInSecond = 0
    private var leftOut = 0L
    private var announced = 0L
    private var announcedAt: Long? = null

    override val dropped: Long
        @Synchronized get() = leftOut + droppedByQueue()

    override fun record(
        event: EventCode,
        fields: Map<String, Any?>,
    ) {
        takeAnnouncement()?.let { write(LogEvent.RECORDS_DROPPED, mapOf("dropped" to it)) }
        if (admits(event.level)) write(event, fields)
    }

    @Synchronized
    private fun takeAnnouncement(): Long? {
        val total = dropped
        val now = clock.now()
        val recent = announcedAt?.let { now - it < MILLISECONDS_PER_SECOND } ?: false
        if (total == announced || recent) return null
        announced = total
        announcedAt = now
        return total
    }

    @Synchronized
    private fun admits(level: Level): Boolean {
        if (level.isMoreSpecificThan(Level.WARN)) return true
        val current = clock.now() / MILLISECONDS_PER_SECOND
        if (current != second) {
            second = current
            writtenInSecond = 0
        }
        if (writtenInSecond == RECORDS_PER_SECOND) {
            leftOut++
            return false
        }
        writtenInSecond++
        return true
    }

    companion object {
        /**
         * An entry at the planned size ends 4 requests a second with up to 8 records each; this leaves room for a burst of
         * fifteen times as much, at about 250 KB a second.
         */
        const val RECORDS_PER_SECOND = 500
        private const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
