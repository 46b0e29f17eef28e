package hawthorncrank.entry.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests that wait without end after the control thread failed on an event. */
class ReducerFaultTest {
    @Test
    fun `a request whose arrival fails in the reducer is answered`() =
        failingOnce(IllegalStateException("test")) { entry ->
            KeptConnection(entry.process.httpPort).use { connection ->
                connection.send()
                assertTrue(connection.status() >= HTTP_SERVER_ERROR)
            }
        }

    @Test
    fun `an error on one request does not end the control thread`() =
        failingOnce(StackOverflowError("test")) { entry ->
            KeptConnection(entry.process.httpPort).send()
            entry.awaitEvent { it is EntryEvent.RequestArrived }
            KeptConnection(entry.process.httpPort).use { connection ->
                connection.send()
                assertEquals(200, connection.status())
            }
        }

    @Test
    fun `a request that failed in the reducer does not keep the entry from stopping`() =
        failingOnce(IllegalStateException("test")) { entry ->
            KeptConnection(entry.process.httpPort).use { connection ->
                connection.send()
                entry.awaitEvent { it is EntryEvent.RequestArrived }
                val finished = CountDownLatch(1)
                entry.process.stop { finished.countDown() }
                assertTrue(finished.await(8, TimeUnit.SECONDS))
            }
        }

    private fun failingOnce(
        failure: Throwable,
        test: (EntryFixture) -> Unit,
    ) = FakeUpstream.answering(200, "{}").use { upstream ->
        val next = AtomicReference<Throwable?>(failure)
        val route = EntryFixture.routingTo(upstream.port)
        EntryFixture { event ->
            if (event is EntryEvent.RequestArrived) next.getAndSet(null)?.let { throw it }
            if (event == EntryEvent.StopRequested) listOf(EntryEffect.Terminate) else route(event)
        }.use(test)
    }
}
