package hawthorncrank.entry.internal

import com.github.michaelbull.result.unwrap
import hawthorncrank.common.EventCode
import hawthorncrank.common.EventLog
import hawthorncrank.common.KeyHash
import hawthorncrank.common.Reducer
import hawthorncrank.common.Transition
import hawthorncrank.common.systemClock
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against a rejection without a log record, which leaves its cause unknown. */
class RejectionLogTest {
    private val records = LinkedBlockingQueue<Pair<EventCode, Map<String, Any?>>>()
    private val log = EventLog { event, fields -> records.add(event to fields) }
    private val noEffects = Reducer<Unit, EntryEvent, EntryEffect> { _, _, _ -> Transition(Unit, persistentListOf()) }

    @Test
    fun `a request before the first configuration is logged with its path and status`() {
        val settings = EntryFixture.settings()
        val process = EntryProcess(settings, systemClock(), log, noEffects, Unit, KeyHash::verify).open("test").unwrap()
        process.use {
            assertEquals(503, exchange(it.httpPort, "POST", "/bookings", "{}").status)
            val fields = awaitRejection()
            assertEquals("/bookings", fields["path"])
            assertEquals(503, fields["status"])
            assertEquals(Rejection.NotReady.problem, fields["problem"])
            assertEquals(null, fields["configuration"])
        }
    }

    /**
     * Guards against a retry time that is too short for a fleet that starts after a loss of power: callers would retry
     * before any entry is ready, which took 1.6 s in the slower of two runs.
     */
    @Test
    fun `a request before the first configuration is told to retry after the fleet has started`() {
        val settings = EntryFixture.settings()
        val process = EntryProcess(settings, systemClock(), log, noEffects, Unit, KeyHash::verify).open("test").unwrap()
        process.use {
            val answer = exchange(it.httpPort, "POST", "/bookings", "{}")
            assertTrue(assertNotNull(answer.headers["retry-after"]).toDouble() >= 1.6)
        }
    }

    private fun awaitRejection(): Map<String, Any?> {
        while (true) {
            val (event, fields) = assertNotNull(records.poll(10, TimeUnit.SECONDS), "no rejection within 10 s")
            if (event == EntryEventCode.REQUEST_REJECTED) return fields
        }
    }
}
