package hawthorncrank.entry.internal

import hawthorncrank.entry.internal.RoutedEntryFixture.IDENTIFIER_HEADER
import hawthorncrank.entry.internal.RoutedEntryFixture.route
import hawthorncrank.protocol.Repetition
import io.netty.channel.ChannelOption
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

/** Guards against a part of an answer that reaches the caller as complete because its upstream did not await the upload. */
class EarlyAnswerTest {
    private val events = (1..EVENTS).joinToString("") { "id: $it\ndata: ${"x".repeat(EVENT_BYTES)}\n\n" }
    private val type = "Content-Type: text/event-stream\r\n"
    private val withoutLength =
        mapOf(
            "HTTP/1.1" to "HTTP/1.1 200 OK\r\n$type",
            "HTTP/1.1, Connection: close" to "HTTP/1.1 200 OK\r\nConnection: close\r\n$type",
            "HTTP/1.0" to "HTTP/1.0 200 OK\r\n$type",
        ).mapValues { (_, head) -> BodyFraming.CONNECTION.brokenOff(head, events) }
    private val delimited =
        listOf(BodyFraming.LENGTH, BodyFraming.CHUNKS)
            .associate { it.name to it.brokenOff("HTTP/1.1 200 OK\r\n$type", events) }
    private val routes =
        listOf(
            route("/idempotent/", 1).copy(repetition = Repetition.IDEMPOTENT, engineAttempts = 2),
            route("/once/", 1).copy(repetition = Repetition.AT_MOST_ONCE),
            route("/stream/", 1, streamed = true).copy(repetition = Repetition.RESUMABLE, engineAttempts = 2),
            route("/stream-once/", 1, streamed = true).copy(repetition = Repetition.AT_MOST_ONCE),
        )

    private val client = upstreamClient { it.option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES) }

    @TestFactory
    fun `an answer that is reset during the upload is not complete`() = incomplete(reset = true)

    @TestFactory
    fun `an answer whose connection is closed during the upload is not complete`() = incomplete(reset = false)

    @Test
    fun `an early answer with a length is complete`() {
        val answer = BodyFraming.LENGTH.whole("HTTP/1.1 200 OK\r\n$type", events)
        for (path in routes.map { it.pathPrefix }) {
            assertEquals(HTTP_OK, EarlyUpstream(answer, reset = false).use { status(it, path) }, path)
        }
    }

    /** Guards against the rest of an upload that arrives where the upstream awaits the next request. */
    @Test
    fun `no rest of an upload precedes the next request`() {
        KeptConnectionUpstream(answersEarly = true) { call ->
            "HTTP/1.1 200 OK\r\nContent-Length: ${call.identifier.length}\r\n\r\n${call.identifier}"
        }.use { upstream ->
            RoutedEntryFixture.entry(upstream.port, routes).use { entry ->
                RoutedEntryFixture.send(entry.httpPort, "/once/", "first")
                repeat(REQUESTS) { number ->
                    val upload = if (number % 2 == 0) UPLOAD else "{}"
                    val headers = listOf("$IDENTIFIER_HEADER: request-$number", "test-time: 4000")
                    val answer = exchange(entry.httpPort, "POST", "/once/", upload, headers)
                    assertEquals("request-$number", answer.body)
                }
            }
        }
    }

    private fun incomplete(reset: Boolean) =
        (withoutLength + delimited).flatMap { (name, answer) ->
            routes.map { route ->
                DynamicTest.dynamicTest("$name, ${route.pathPrefix}") {
                    EarlyUpstream(answer, reset).use { upstream ->
                        assertNotEquals(HTTP_OK, status(upstream, route.pathPrefix))
                        if (route.repetition == Repetition.AT_MOST_ONCE) assertEquals(1, upstream.requests.get())
                    }
                }
            }
        }

    /** Null if the answer is not complete. */
    private fun status(
        upstream: EarlyUpstream,
        path: String,
    ): Int? =
        RoutedEntryFixture.entry(upstream.port, routes, client = client).use { entry ->
            RoutedEntryFixture.send(entry.httpPort, "/unknown/", "first")
            try {
                exchange(entry.httpPort, "POST", path, UPLOAD, listOf("test-time: 4000")).status
            } catch (_: IOException) {
                null
            }
        }

    private companion object {
        const val REQUESTS = 6
        const val EVENTS = 128
        const val EVENT_BYTES = 8_192

        /** The system may let the send buffer of a connection grow to hold the largest upload that an entry accepts. */
        const val SEND_BUFFER_BYTES = 65_536
        val UPLOAD = "x".repeat(4_000_000)
    }
}
