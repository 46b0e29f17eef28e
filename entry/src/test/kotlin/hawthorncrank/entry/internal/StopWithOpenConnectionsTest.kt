package hawthorncrank.entry.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.Refusal
import reactor.core.publisher.Flux
import reactor.core.publisher.Sinks
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests that reach a stopping entry on a connection that it left open and no longer serves. */
class StopWithOpenConnectionsTest {
    @Test
    fun `a kept connection is closed before the process ends`() =
        serving(FakeUpstream.answering(200, "{}"), EntryEffect.Terminate) { entry ->
            KeptConnection(entry.process.httpPort).use { connection ->
                connection.send()
                assertEquals(200, connection.status())
                stop(entry)
                entry.process.close()
                assertEquals("", connection.rest())
            }
        }

    @Test
    fun `an idle connection is closed when new requests begin to be refused, and a stream ends first`() {
        val parts = Sinks.many().unicast().onBackpressureBuffer<String>()
        serving(FakeUpstream.streaming(parts.asFlux()), EntryEffect.CloseIdleConnections) { entry ->
            val idle = KeptConnection(entry.process.httpPort)
            val streaming = KeptConnection(entry.process.httpPort)
            streaming.send(EntryFixture.CHAT)
            parts.tryEmitNext(FakeUpstream.event("knot"))
            entry.awaitEvent { it is EntryEvent.AttemptFirstByte }
            entry.process.stop {}
            assertEquals("", idle.rest())
            parts.tryEmitNext(FakeUpstream.DONE)
            parts.tryEmitComplete()
            assertContains(streaming.rest(), "[DONE]")
        }
    }

    @Test
    fun `a request that arrives after the last one has ended is refused`() =
        serving(FakeUpstream.answering(200, "{}"), EntryEffect.Terminate) { entry ->
            KeptConnection(entry.process.httpPort).use { connection ->
                connection.send()
                assertEquals(200, connection.status())
                stop(entry)
                connection.send()
                assertEquals(503, connection.status())
                assertEquals("", connection.rest())
            }
        }

    @Test
    fun `closing an entry waits a limited time for a caller that does not read its answer`() {
        val parts = Flux.range(0, 100_000).map { FakeUpstream.event("knot $it".repeat(100)) }
        serving(FakeUpstream.streaming(parts), EntryEffect.Terminate) { entry ->
            KeptConnection(entry.process.httpPort).use { connection ->
                connection.send(EntryFixture.CHAT)
                entry.awaitEvent { it is EntryEvent.AttemptFirstByte }
                entry.process.stop {}
                val closed = CountDownLatch(1)
                Thread { entry.process.close().also { closed.countDown() } }.start()
                assertTrue(closed.await(10, TimeUnit.SECONDS))
            }
        }
    }

    /** Serves [upstream] with an entry that does [atStop] when it is asked to stop, and refuses later requests. */
    private fun serving(
        upstream: FakeUpstream,
        atStop: EntryEffect,
        test: (EntryFixture) -> Unit,
    ) = upstream.use {
        val stopped = AtomicBoolean()
        val route = EntryFixture.routingTo(upstream.port)
        EntryFixture { event ->
            when {
                event == EntryEvent.StopRequested -> listOf(atStop).also { stopped.set(true) }
                event is EntryEvent.RequestArrived && stopped.get() ->
                    listOf(EntryEffect.RefuseCaller(event.request.number, Refusal.Stopping))
                else -> route(event)
            }
        }.use(test)
    }

    private fun stop(entry: EntryFixture) {
        val finished = CountDownLatch(1)
        entry.process.stop { finished.countDown() }
        assertTrue(finished.await(10, TimeUnit.SECONDS))
    }
}
