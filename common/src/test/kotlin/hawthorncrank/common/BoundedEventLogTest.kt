package hawthorncrank.common

import org.apache.logging.log4j.Level
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The log must not grow with the load, and dropped records must be counted and reported. */
class BoundedEventLogTest {
    private var now = 0L
    private var droppedByQueue = 0L
    private val written = mutableListOf<Pair<EventCode, Map<String, Any?>>>()
    private val clock =
        object : MillisecondClock {
            override fun now() = now

            override fun wallTime() = now
        }
    private val log = BoundedEventLog(clock, { droppedByQueue }) { event, fields -> written += event to fields }

    @Test
    fun `records above the limit of a second are dropped and the next second starts a new count`() {
        repeat(2 * BoundedEventLog.RECORDS_PER_SECOND) { log.record(TestEvent.DECISION) }
        assertEquals(BoundedEventLog.RECORDS_PER_SECOND, written.count { it.first == TestEvent.DECISION })
        now += 1_000
        log.record(TestEvent.DECISION)
        assertEquals(BoundedEventLog.RECORDS_PER_SECOND + 1, written.count { it.first == TestEvent.DECISION })
    }

    @Test
    fun `warnings are written after the limit is reached`() {
        repeat(2 * BoundedEventLog.RECORDS_PER_SECOND) { log.record(TestEvent.DECISION) }
        log.record(TestEvent.TROUBLE)
        assertEquals(1, written.count { it.first == TestEvent.TROUBLE })
    }

    @Test
    fun `the number of dropped records is reported before the next record`() {
        repeat(BoundedEventLog.RECORDS_PER_SECOND + 7) { log.record(TestEvent.DECISION) }
        now += 1_000
        log.record(TestEvent.DECISION)
        assertEquals(7L, log.dropped)
        assertEquals(7L, dropReports().last())
    }

    @Test
    fun `records that the queue dropped are reported at most once a second`() {
        droppedByQueue = 3
        log.record(TestEvent.DECISION)
        droppedByQueue = 5
        log.record(TestEvent.DECISION)
        assertEquals(listOf<Any?>(3L), dropReports())
        now += 1_000
        log.record(TestEvent.DECISION)
        assertEquals(listOf<Any?>(3L, 5L), dropReports())
        assertTrue(log.dropped == 5L)
    }

    private fun dropReports() = written.filter { it.first == LogEvent.RECORDS_DROPPED }.map { it.second["dropped"] }

    private enum class TestEvent(
        override val number: Int,
        override val level: Level,
        override val text: String,
    ) : EventCode {
        DECISION(1, Level.INFO, "a decision"),
        TROUBLE(2, Level.WARN, "trouble"),
    }
}
