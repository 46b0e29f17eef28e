package hawthorncrank.common

import org.apache.logging.log4j.Level
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a log that grows with the load, and against records that vanish without a count. */
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
    fun `a burst of one second is cut at the bound and the next second begins anew`() {
        repeat(2 * BoundedEventLog.RECORDS_PER_SECOND) { log.record(TestEvent.DECISION) }
        assertEquals(BoundedEventLog.RECORDS_PER_SECOND, written.count { it.first == TestEvent.DECISION })
        now += 1_000
        log.record(TestEvent.DECISION)
        assertEquals(BoundedEventLog.RECORDS_PER_SECOND + 1, written.count { it.first == TestEvent.DECISION })
    }

    @Test
    fun `warnings are written when the bound is reached`() {
        repeat(2 * BoundedEventLog.RECORDS_PER_SECOND) { log.record(TestEvent.DECISION) }
        log.record(TestEvent.TROUBLE)
        assertEquals(1, written.count { it.first == TestEvent.TROUBLE })
    }

    @Test
    fun `the next record says how many were left out`() {
        repeat(BoundedEventLog.RECORDS_PER_SECOND + 7) { log.record(TestEvent.DECISION) }
        now += 1_000
        log.record(TestEvent.DECISION)
        assertEquals(7L, log.dropped)
        assertEquals(7L, announcements().last())
    }

    @Test
    fun `records that the queue dropped are announced at most once a second`() {
        droppedByQueue = 3
        log.record(TestEvent.DECISION)
        droppedByQueue = 5
        log.record(TestEvent.DECISION)
        assertEquals(listOf<Any?>(3L), announcements())
        now += 1_000
        log.record(TestEvent.DECISION)
        assertEquals(listOf<Any?>(3L, 5L), announcements())
        assertTrue(log.dropped == 5L)
    }

    private fun announcements() = written.filter { it.first == LogEvent.RECORDS_DROPPED }.map { it.second["dropped"] }

    private enum class TestEvent(
        override val number: Int,
        override val level: Level,
        override val text: String,
    ) : EventCode {
        DECISION(1, Level.INFO, "a decision"),
        TROUBLE(2, Level.WARN, "trouble"),
    }
}
