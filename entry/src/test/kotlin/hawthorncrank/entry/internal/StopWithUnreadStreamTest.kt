package hawthorncrank.entry.internal

import reactor.core.publisher.Flux
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a caller that reads nothing and so keeps an entry from stopping. */
class StopWithUnreadStreamTest {
    @Test
    fun `a stream that its caller does not read ends soon after its deadline`() {
        val parts = Flux.range(1, 200_000).map { "id: $it\ndata: ${"knot".repeat(200)}\n\n" }
        FakeUpstream.streaming(parts).use { upstream ->
            val route = RoutedEntryFixture.route("/stream/", tier = 1, streamed = true)
            RoutedEntryFixture.entry(upstream.port, listOf(route)).use { entry ->
                while (exchange(entry.operationsPort, "GET", "/readyz").status != 200) Thread.onSpinWait()
                Socket("127.0.0.1", entry.httpPort).use { caller ->
                    caller.getOutputStream().write(REQUEST.toByteArray())
                    assertEquals(
                        STREAM_BEGINS,
                        caller.getInputStream().readNBytes(STREAM_BEGINS.length).decodeToString(),
                    )
                    val finished = CountDownLatch(1)
                    entry.stop { finished.countDown() }
                    assertTrue(finished.await(8, TimeUnit.SECONDS))
                }
            }
        }
    }

    private companion object {
        const val STREAM_BEGINS = "HTTP/1.1 200"
        const val REQUEST =
            "POST /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\ntest-time: 2000\r\nContent-Length: 2\r\n\r\n{}"
    }
}
