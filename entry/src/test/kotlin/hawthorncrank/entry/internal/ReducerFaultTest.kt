package hawthorncrank.entry.internal

import hawthorncrank.entry.core.EntryEvent
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against requests that wait without end after the control thread failed on an event. */
class ReducerFaultTest {
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

    private fun failingOnce(
        failure: Throwable,
        test: (EntryFixture) -> Unit,
    ) = FakeUpstream.answering(200, "{}").use { upstream ->
        val next = AtomicReference<Throwable?>(failure)
        val route = EntryFixture.routingTo(upstream.port)
        EntryFixture { event ->
            if (event is EntryEvent.RequestArrived) next.getAndSet(null)?.let { throw it }
            route(event)
        }.use(test)
    }
}
