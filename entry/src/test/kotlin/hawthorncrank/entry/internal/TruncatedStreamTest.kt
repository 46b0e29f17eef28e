package hawthorncrank.entry.internal

import hawthorncrank.entry.internal.RoutedEntryFixture.LAST_EVENT_HEADER
import hawthorncrank.entry.internal.RoutedEntryFixture.route
import hawthorncrank.entry.internal.StreamCaller.receive
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a stream that its upstream broke off and that reaches the caller as complete. */
class TruncatedStreamTest {
    private val head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    private val stream = route("/stream/", tier = 1, streamed = true).copy(engineAttempts = 2)
    private val first = "id: 1\ndata: one\n\n"
    private val second = "id: 2\ndata: two\n\n"
    private val unfinished = "id: 2\nda"

    @TestFactory
    fun `truncated streams do not look complete`() =
        listOf(
            truncated("inside an event, without length", undelimited(first + unfinished)),
            truncated("inside an event, in complete chunks", chunks(first + unfinished) + LAST_CHUNK),
            truncated("inside an event, at its length", sized(first + unfinished)),
            truncated("inside its first event, without length", undelimited("id: 1\nda")),
            truncated("before its first event, without length", undelimited("")),
            truncated("before its first event, in complete chunks", chunks("") + LAST_CHUNK),
            truncated("after an event, before the last chunk", chunks(first)),
            truncated("after an event, before its length", sized(first, missing = 7)),
            truncated("after an event, without length, by a reset", undelimited(first), reset = true),
            truncated("inside an event, without length or type", "HTTP/1.1 200 OK\r\n\r\n$first$unfinished"),
            truncated(
                "inside an event, without length, with its type in capitals",
                "HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream\r\n\r\n$first$unfinished",
            ),
        )

    @TestFactory
    fun `a stream that ends after an event is complete`() =
        listOf(
            whole("without length", undelimited(first + second)),
            whole("in complete chunks", chunks(first + second) + LAST_CHUNK),
            whole("at its length", sized(first + second)),
        )

    private fun whole(
        name: String,
        answer: String,
    ) = DynamicTest.dynamicTest(name) {
        for (version in VERSIONS) {
            val received = received(version, ClosingAnswer(answer))
            assertTrue(received.complete, "HTTP/$version")
            assertEquals(first + second, received.events, "HTTP/$version")
        }
    }

    @Test
    fun `resumes a stream without length after its last whole event`() {
        val answers = listOf(ClosingAnswer(undelimited(first + unfinished)), ClosingAnswer(undelimited(second)))
        ClosingUpstream(answers).use { upstream ->
            RoutedEntryFixture.entry(upstream.port, listOf(stream)).use { entry ->
                val received = receive(entry.httpPort, "1.1")
                assertTrue(received.complete)
                assertEquals(first + second, received.events)
                assertContains(upstream.requests.last(), "$LAST_EVENT_HEADER: 1")
            }
        }
    }

    @Test
    fun `an answer without length whose connection is reset is not complete`() {
        ClosingUpstream(listOf(ClosingAnswer("HTTP/1.1 200 OK\r\n\r\npart", reset = true))).use { upstream ->
            upstream.received.countDown()
            RoutedEntryFixture.entry(upstream.port, listOf(route("/stream/", tier = 1))).use { entry ->
                assertTrue(!receive(entry.httpPort, "1.1").complete)
            }
        }
    }

    /** Guards against a caller that has received all events and is told that the stream was broken off. */
    @Test
    fun `completes a stream that lacked only its end when it was resumed`() {
        val answers = listOf(ClosingAnswer(chunks(first + second)), ClosingAnswer(chunks("") + LAST_CHUNK))
        ClosingUpstream(answers).use { upstream ->
            RoutedEntryFixture.entry(upstream.port, listOf(stream)).use { entry ->
                val received = receive(entry.httpPort, "1.1")
                assertTrue(received.complete)
                assertEquals(first + second, received.events)
            }
        }
    }

    private fun truncated(
        name: String,
        answer: String,
        reset: Boolean = false,
    ) = DynamicTest.dynamicTest(name) {
        for (version in VERSIONS) {
            val received = received(version, ClosingAnswer(answer, reset))
            assertTrue(!received.complete, "HTTP/$version: ended as complete with ${received.events}")
        }
    }

    private fun received(
        version: String,
        answer: ClosingAnswer,
    ): ReceivedStream =
        ClosingUpstream(listOf(answer)).use { upstream ->
            RoutedEntryFixture.entry(upstream.port, listOf(stream)).use { entry ->
                receive(entry.httpPort, version) { if (first in it) upstream.received.countDown() }
            }
        }

    private fun undelimited(events: String) = "$head\r\n$events"

    private fun chunks(events: String): String {
        val chunk = if (events.isEmpty()) "" else "${events.length.toString(HEXADECIMAL)}\r\n$events\r\n"
        return "${head}Transfer-Encoding: chunked\r\n\r\n$chunk"
    }

    private fun sized(
        events: String,
        missing: Int = 0,
    ) = "${head}Content-Length: ${events.length + missing}\r\n\r\n$events"

    private companion object {
        const val LAST_CHUNK = BodyFraming.LAST_CHUNK
        const val HEXADECIMAL = 16
        val VERSIONS = listOf("1.1", "1.0")
    }
}
