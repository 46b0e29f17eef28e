package hawthorncrank.common

import org.apache.logging.log4j.Level

/**
 * Limits the log output of a process under load: at most [RECORDS_PER_SECOND] records below the level WARN are
 * written each second. Records dropped here or by the queue behind [write] are counted, and the count is logged at most
 * once a second.
 */
internal class BoundedEventLog(
    private val clock: MillisecondClock,
    private val droppedByQueue: () -> Long,
    private val write: (EventCode, Map<String, Any?>) -> Unit,
) : EventLog {
    private var currentSecond = Long.MIN_VALUE
    private var writtenInSecond = 0
    private var droppedByLimit = 0L
    private var reportedDrops = 0L
    private var reportedAt: Long? = null

    override val dropped: Long
        @Synchronized get() = droppedByLimit + droppedByQueue()

    override fun record(
        event: EventCode,
        fields: Map<String, Any?>,
    ) {
        takeDropReport()?.let { write(LogEvent.RECORDS_DROPPED, mapOf("dropped" to it)) }
        if (tryAcquire(event.level)) write(event, fields)
    }

    @Synchronized
    private fun takeDropReport(): Long? {
        val total = dropped
        val now = clock.now()
        val recent = reportedAt?.let { now - it < MILLISECONDS_PER_SECOND } ?: false
        if (total == reportedDrops || recent) return null
        reportedDrops = total
        reportedAt = now
        return total
    }

    @Synchronized
    private fun tryAcquire(level: Level): Boolean {
        if (level.isMoreSpecificThan(Level.WARN)) return true
        val second = clock.now() / MILLISECONDS_PER_SECOND
        if (second != currentSecond) {
            currentSecond = second
            writtenInSecond = 0
        }
        if (writtenInSecond == RECORDS_PER_SECOND) {
            droppedByLimit++
            return false
        }
        writtenInSecond++
        return true
    }

    companion object {
        /**
         * An entry at the planned size completes 4 requests a second with up to 8 records each. The limit allows bursts
         * of 15 times that rate, about 250 KB a second.
         */
        const val RECORDS_PER_SECOND = 500
        private const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
