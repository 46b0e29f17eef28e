package hawthorncrank.entry.internal

import hawthorncrank.entry.internal.RoutedEntryFixture.route
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.IOException
import java.util.concurrent.CompletableFuture
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Guards against an upstream that occupies an entry's memory or connections with bytes that are no answer. */
class EndlessAnswerTest {
    private val streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    private val chunked = "Transfer-Encoding: chunked\r\n\r\n"
    private val firstEvent = "13\r\nid: 1\ndata: hello\n\n\r\n"

    @TestFactory
    fun `an answer that never ends is cut off and its connection closed`() =
        listOf(
            endless("text instead of a head", "", "no answer"),
            endless("control characters instead of a head", "", "\u0001\u0002"),
            endless("empty lines instead of a head", "", "\r\n"),
            endless("a header", "HTTP/1.1 200 OK\r\nA: ", "a"),
            endless("headers", "HTTP/1.1 200 OK\r\n", "A: a\r\n"),
            endless("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"),
            endless("a body without length", "HTTP/1.1 200 OK\r\n\r\n", "body"),
            endless("a chunked body", "HTTP/1.1 200 OK\r\n$chunked", "4\r\nbody\r\n"),
            endless("a chunk size", "HTTP/1.1 200 OK\r\n$chunked", "0"),
            endless("a stream without an event", "$streamHead$chunked", "4\r\nbody\r\n"),
            endless("a stream of comments", "$streamHead$chunked", "4\r\n: a\n\r\n"),
            endless("one event after the first", "$streamHead$chunked$firstEvent", "4\r\nbody\r\n"),
            endless("a chunk size after an event", "$streamHead$chunked$firstEvent", "0"),
            endless("text after the last chunk", "$streamHead$chunked${firstEvent}0\r\n", "A: a\r\n"),
        )

    private fun endless(
        name: String,
        start: String,
        rest: String,
    ): DynamicTest =
        DynamicTest.dynamicTest(name) {
            EndlessUpstream(start, rest).use { upstream ->
                RoutedEntryFixture.entry(upstream.port, listOf(route("/stream/", 1, streamed = true))).use { entry ->
                    val before = System.nanoTime()
                    val status = CompletableFuture.supplyAsync { status(entry.httpPort) }
                    val waits = generateSequence { otherCallerWaits(entry.httpPort) }.takeWhile { !status.isDone }
                    val longestWait = waits.maxOrNull() ?: 0
                    assertNotEquals(HTTP_OK, status.join())
                    upstream.awaitClosed(seconds = 1)
                    val duration = millisecondsSince(before)
                    assertTrue(duration < DEADLINE_MILLISECONDS + 1_000, "closed after $duration ms")
                    assertTrue(longestWait < LONGEST_WAIT_MILLISECONDS, "another caller waited $longestWait ms")
                }
            }
        }

    private fun otherCallerWaits(port: Int): Long {
        val before = System.nanoTime()
        exchange(port, "GET", "/unknown/")
        return millisecondsSince(before)
    }

    private fun millisecondsSince(nanoseconds: Long) = (System.nanoTime() - nanoseconds) / 1_000_000

    /** Null if the connection ends without a complete answer. */
    private fun status(port: Int): Int? {
        while (true) {
            try {
                val answer = exchange(port, "POST", "/stream/", "{}", listOf("test-time: $DEADLINE_MILLISECONDS"))
                // The entry has no configuration yet.
                if (answer.body.contains("no configuration")) continue
                return answer.status
            } catch (_: IOException) {
                return null
            }
        }
    }

    private companion object {
        const val DEADLINE_MILLISECONDS = 2_000L

        // Callers give up a request that was not read within a second.
        const val LONGEST_WAIT_MILLISECONDS = 1_000L
    }
}
