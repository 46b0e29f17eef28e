package hawthorncrank.entry.internal

import hawthorncrank.entry.internal.RoutedEntryFixture.NOT_RUN_HEADER
import hawthorncrank.entry.internal.RoutedEntryFixture.route
import hawthorncrank.protocol.Repetition
import hawthorncrank.protocol.RequestRoute
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a stream that broke off and that the next upstream's error or other stream ends or continues. */
class ResumedStreamTest {
    // ClosingUpstream ends each connection, and an entry may keep one that is not announced to end.
    private val untyped = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
    private val streamHead = "${untyped}Content-Type: text/event-stream\r\n"
    private val first = "id: 1\ndata: one\n\n"
    private val second = "id: 2\ndata: two\n\n"
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
    fun `a stream that may not be resumed ends without completion where it broke off`() =
        (brokenInsideEvent + brokenAfterEvent).map { (name, broken) ->
            val once = stream.copy(repetition = Repetition.AT_MOST_ONCE)
            keeps(name, broken, BodyFraming.LENGTH.whole(errorHead, error), first, once)
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

    private fun receive(
        version: String,
        route: RequestRoute,
        answers: List<String>,
    ): ReceivedStream =
        ClosingUpstream(answers.map { ClosingAnswer(it) }).use { upstream ->
            RoutedEntryFixture.entry(upstream.port, listOf(route)).use { entry ->
                StreamCaller.receive(entry.httpPort, version)
            }
        }

    private companion object {
        const val OVER_LIMIT = (16 shl 20) + 100
    }
}
