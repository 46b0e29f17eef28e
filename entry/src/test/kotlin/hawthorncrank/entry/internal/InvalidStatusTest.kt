package hawthorncrank.entry.internal

import hawthorncrank.entry.internal.RoutedEntryFixture.route
import hawthorncrank.protocol.Repetition
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against an answer with a status that HTTP does not have and that reaches the caller as an answer. */
class InvalidStatusTest {
    private val statuses =
        listOf("000", "099", "600", "999", "20", "2", "2000", "0200", "+200", "+20", "-200", "-20", "2x0", "abc", "")
    private val type = "Content-Type: text/event-stream\r\n"
    private val framings =
        mapOf<String, (String) -> String>(
            "kept" to { "HTTP/1.1 $it OK\r\n${type}Content-Length: 17\r\n\r\n$EVENT" },
            "Connection: close" to {
                "HTTP/1.1 $it OK\r\n${type}Connection: close\r\nContent-Length: 17\r\n\r\n$EVENT"
            },
            "HTTP/1.0" to { "HTTP/1.0 $it OK\r\n${type}\r\n$EVENT" },
        )
    private val routes =
        listOf(
            route("/idempotent/", 1).copy(repetition = Repetition.IDEMPOTENT, engineAttempts = 2),
            route("/once/", 1).copy(repetition = Repetition.AT_MOST_ONCE),
            route("/stream/", 1, streamed = true).copy(repetition = Repetition.RESUMABLE, engineAttempts = 2),
            route("/stream-once/", 1, streamed = true).copy(repetition = Repetition.AT_MOST_ONCE),
        )

    @TestFactory
    fun `an invalid status is no answer`() =
        framings.flatMap { (name, answer) ->
            routes.map { route ->
                DynamicTest.dynamicTest("$name, ${route.pathPrefix}") {
                    val seen = statuses.associateWith { status(route.pathPrefix, answer(it)) }
                    val calls = if (route.repetition == Repetition.AT_MOST_ONCE) 1 else 2
                    assertEquals(emptyMap(), seen.filterValues { it != (HTTP_BAD_GATEWAY to calls) })
                }
            }
        }

    @TestFactory
    fun `the lowest and the highest status of an answer reach the caller`() =
        listOf("200", "599").map { status ->
            DynamicTest.dynamicTest(status) {
                val seen = status("/once/", "HTTP/1.1 $status OK\r\nContent-Length: 0\r\n\r\n")
                assertEquals(status.toInt() to 1, seen)
            }
        }

    /** The status that the caller got, and the number of connections, each of which must have had one request. */
    private fun status(
        path: String,
        answer: String,
    ): Pair<Int, Int> =
        KeptConnectionUpstream { call ->
            if (call.position == 1) answer else "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        }.use { upstream ->
            RoutedEntryFixture.entry(upstream.port, routes).use { entry ->
                val status = RoutedEntryFixture.send(entry.httpPort, path, "a").status
                status to
                    upstream.calls
                        .map { it.connection }
                        .distinct()
                        .size
            }
        }

    private companion object {
        const val EVENT = "id: 1\ndata: one\n\n"
    }
}
