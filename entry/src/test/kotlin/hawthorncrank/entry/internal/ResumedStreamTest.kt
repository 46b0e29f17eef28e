package hawthorncrank.entry.internal

import hawthorncrank.entry.internal.RoutedEntryFixture.LAST_EVENT_HEADER
import hawthorncrank.entry.internal.RoutedEntryFixture.NOT_RUN_HEADER
import hawthorncrank.entry.internal.RoutedEntryFixture.route
import hawthorncrank.protocol.Repetition
import hawthorncrank.protocol.RequestRoute
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a stream that broke off and that the next upstream's error or other stream ends or continues. */
class ResumedStreamTest {
    // ClosingUpstream ends each connection, and an entry may keep one that is not announced to end.
    private val untyped = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
    private val streamHead = "${untyped}Content-Type: text/event-stream\r\n"
    private val first = "id: 1\ndata: one\n\n"
    private val second = "id: 2\ndata: two\n\n"
    private val third = "id: 3\ndata: three\n\n"
    private val unfinished = "id: 2\ndata: t"
    private val error = "Internal error\n\n"
    private val errorHead = "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Type: text/plain\r\n"

    @TestFactory
    fun `an answer with an error adds nothing to a stream and does not complete it`() =
        everyFraming("status 500", errorHead, error) +
            everyFraming("status 500 with an event", errorHead.replace("plain", "event-stream"), second) +
            everyFraming("status 502", "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\n", error) +
            everyFraming("a rejection", "HTTP/1.1 503 Service Unavailable\r\n$NOT_RUN_HEADER: 1\r\n", error) +
            everyFraming("a rejection without a body", "HTTP/1.1 503 No\r\n$NOT_RUN_HEADER: 1\r\n", "") +
            everyFraming("status 200 with another type", untyped + "Content-Type: application/json\r\n", "{}\n\n") +
            everyFraming("status 202 with events", streamHead.replace("200", "202"), second) +
            everyAnswer("a head that is cut", "HTTP/1.1 200 OK\r\nContent-Ty") +
            everyAnswer("no answer", "") +
            keeps(
                "a body over the limit",
                brokenInside,
                BodyFraming.LENGTH.whole(errorHead, "x".repeat(OVER_LIMIT)),
                first,
            )

    @TestFactory
    fun `text that is no event adds nothing to a stream and does not complete it`() =
        everyFraming("an error without a type", untyped, error) +
            everyFraming("an error with the type of a stream", streamHead, error) +
            everyFraming("an error of one line", streamHead, "Internal error") +
            everyFraming("an error of one word", streamHead, "failed\n\n") +
            everyFraming("an error as an event", streamHead, "event: error\ndata: failed\n\n") +
            everyFraming("a whole head", streamHead, "$errorHead\r\n$error") +
            everyFraming("a head after the start of an event", streamHead, "$unfinished$errorHead\r\n$error") +
            everyFraming("a long text", streamHead, "x".repeat(LONG_TEXT)) +
            everyFraming("a long text without a type", untyped, "x".repeat(LONG_TEXT))

    @TestFactory
    fun `an event that does not follow the last one is not sent to the caller`() =
        everyFraming("from the first event", streamHead, first + second) +
            everyFraming("the last event again", streamHead, first) +
            everyFraming("an event of no number", streamHead, "data: two\n\n") +
            everyFraming("two events as one", streamHead, "$unfinished\n$second") +
            everyFraming("an error after an event", streamHead, second + error, first + second) +
            everyFraming("an event twice", streamHead, second + second + third, first + second) +
            everyFraming("an earlier event after an event", streamHead, third + second, first + third)

    @TestFactory
    fun `a caller that resumes a stream gets no event again`() =
        BodyFraming.entries.map { framing ->
            DynamicTest.dynamicTest(framing.name.lowercase()) {
                val answers = listOf(framing.whole(streamHead, first + second), framing.whole(streamHead, second))
                val received = receive("1.1", stream, answers, header = "$LAST_EVENT_HEADER: 1\r\n")
                assertEquals(second, received.events)
                assertTrue(received.complete)
            }
        }

    @TestFactory
    fun `an error in the body of a stream is not sent to the caller`() =
        BodyFraming.entries.flatMap { framing ->
            listOf(first, first + unfinished).map { begun ->
                val answer = framing.brokenOff(streamHead, begun) + errorHead + "\r\n" + error
                keeps("${framing.name.lowercase()}, after ${begun.length} bytes", answer, answer, first)
            }
        }

    @TestFactory
    fun `an empty answer does not complete a stream that broke off inside an event`() =
        BodyFraming.entries.flatMap { framing ->
            brokenInsideEvent.map { (name, broken) ->
                keeps("$name, then ${framing.name.lowercase()}", broken, framing.whole(streamHead, ""), first)
            }
        }

    @TestFactory
    fun `an empty answer without a type does not complete a stream`() = everyFraming("empty", untyped, "")

    @TestFactory
    fun `an empty answer does not complete a stream that broke off before its length`() =
        BodyFraming.entries.map { framing ->
            val broken = BodyFraming.LENGTH.brokenOff(streamHead, first)
            keeps("then ${framing.name.lowercase()}", broken, framing.whole(streamHead, ""), first)
        }

    @TestFactory
    fun `a stream that may not be resumed ends without completion where it broke off`() =
        (brokenInsideEvent + brokenAfterEvent).map { (name, broken) ->
            val once = stream.copy(repetition = Repetition.AT_MOST_ONCE)
            keeps(name, broken, BodyFraming.LENGTH.whole(errorHead, error), first, once)
        }

    @TestFactory
    fun `a stream goes on at a third upstream after the second one's error`() =
        listOf(
            continued("an error", BodyFraming.LENGTH.whole(errorHead, error)),
            continued("text that is no event", BodyFraming.LENGTH.whole(streamHead, error)),
            continued("the first event again", BodyFraming.CHUNKS.whole(streamHead, first + second)),
            continued("nothing", BodyFraming.CHUNKS.whole(streamHead, "")),
        )

    @Test
    fun `comments and further fields of events are sent to the caller`() {
        val rest = ": comment\n\nlabel-version: 7\nid: 2\nevent: word\nretry: 5\ndata:two\ndata\n\n"
        val received = receive("1.1", stream, listOf(brokenInside, BodyFraming.CHUNKS.whole(streamHead, rest)))
        assertEquals(first + rest, received.events)
        assertTrue(received.complete)
    }

    private val stream = route("/stream/", tier = 1, streamed = true).copy(engineAttempts = 2)
    private val brokenInside = BodyFraming.CHUNKS.brokenOff(streamHead, first + unfinished)
    private val brokenInsideEvent =
        BodyFraming.entries.map {
            "inside an event, ${it.name.lowercase()}" to it.brokenOff(streamHead, first + unfinished)
        }
    private val brokenAfterEvent =
        listOf(BodyFraming.LENGTH, BodyFraming.CHUNKS).map {
            "after an event, ${it.name.lowercase()}" to it.brokenOff(streamHead, first)
        }

    private fun everyFraming(
        name: String,
        head: String,
        body: String,
        expected: String = first,
    ): List<DynamicTest> =
        BodyFraming.entries.flatMap { framing ->
            everyAnswer("$name, ${framing.name.lowercase()}", framing.whole(head, body), expected)
        }

    private fun everyAnswer(
        name: String,
        answer: String,
        expected: String = first,
    ): List<DynamicTest> =
        (brokenInsideEvent + brokenAfterEvent).map { (brokenName, broken) ->
            keeps("$brokenName, then $name", broken, answer, expected)
        }

    private fun keeps(
        name: String,
        broken: String,
        answer: String,
        expected: String,
        route: RequestRoute = stream,
    ) = DynamicTest.dynamicTest(name) {
        for (version in listOf("1.1", "1.0")) {
            val received = receive(version, route, listOf(broken, answer))
            assertEquals(expected, received.events, "HTTP/$version")
            assertTrue(!received.complete, "HTTP/$version: ended as complete with ${received.events}")
        }
    }

    private fun continued(
        name: String,
        answer: String,
    ) = DynamicTest.dynamicTest(name) {
        val last = BodyFraming.CHUNKS.whole(streamHead, second + third)
        val received = receive("1.1", stream.copy(engineAttempts = 3), listOf(brokenInside, answer, last))
        assertEquals(first + second + third, received.events)
        assertTrue(received.complete)
    }

    private fun receive(
        version: String,
        route: RequestRoute,
        answers: List<String>,
        header: String = "",
    ): ReceivedStream =
        ClosingUpstream(answers.map { ClosingAnswer(it) }).use { upstream ->
            RoutedEntryFixture.entry(upstream.port, listOf(route)).use { entry ->
                StreamCaller.receive(entry.httpPort, version, header)
            }
        }

    private companion object {
        const val LONG_TEXT = (1 shl 20) + 100
        const val OVER_LIMIT = (16 shl 20) + 100
    }
}
