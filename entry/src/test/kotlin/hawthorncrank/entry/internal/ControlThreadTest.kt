package hawthorncrank.entry.internal

import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.Reducer
import hawthorncrank.common.Transition
import hawthorncrank.common.eventLog
import hawthorncrank.common.systemClock
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ControlThreadTest {
    private val suspended = AtomicLong(700)
    private val clock =
        object : MillisecondClock by systemClock() {
            override fun suspended() = suspended.get()
        }
    private val events = CopyOnWriteArrayList<EntryEvent>()
    private val stopped = CountDownLatch(1)

    /** A request that arrived after a suspension must not be accepted on a confirmation from before it. */
    @Test
    fun `a suspension is reduced before the events that are taken after it and only once`() {
        val reducer =
            Reducer<Unit, EntryEvent, EntryEffect> { _, event, _ ->
                events += event
                if (event == EntryEvent.StopRequested) stopped.countDown()
                Transition(Unit, persistentListOf())
            }
        ControlThread(reducer, Unit, clock, eventLog("test"), {}, {}) {}.use { thread ->
            thread.send(EntryEvent.ControlLinkOpened)
            suspended.addAndGet(2_400)
            thread.start()
            thread.send(EntryEvent.StopRequested)
            assertTrue(stopped.await(10, TimeUnit.SECONDS))
        }
        val taken = events.filter { it != EntryEvent.Tick }
        val expected =
            listOf(EntryEvent.MachineSuspended(2_400), EntryEvent.ControlLinkOpened, EntryEvent.StopRequested)
        assertEquals(expected, taken)
    }
}
