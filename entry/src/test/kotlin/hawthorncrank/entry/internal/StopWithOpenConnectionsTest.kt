package hawthorncrank.entry.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests that reach a stopping entry on a connection that it left open and no longer serves. */
class StopWithOpenConnectionsTest {
    @Test
    fun `a kept connection is closed before the process ends`() {
        FakeUpstream.answering(200, "{}").use { upstream ->
            EntryFixture(decide = EntryFixture.routingTo(upstream.port, ::terminating)).use { entry ->
                KeptConnection(entry.process.httpPort).use { connection ->
                    connection.send()
                    assertEquals(200, connection.status())
                    stop(entry)
                    entry.process.close()
                    assertEquals("", connection.rest())
                }
            }
        }
    }

    private fun stop(entry: EntryFixture) {
        val finished = CountDownLatch(1)
        entry.process.stop { finished.countDown() }
        assertTrue(finished.await(10, TimeUnit.SECONDS))
    }

    private fun terminating(event: EntryEvent): List<EntryEffect> =
        if (event == EntryEvent.StopRequested) listOf(EntryEffect.Terminate) else emptyList()
}
