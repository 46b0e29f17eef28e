package hawthorncrank.entry.internal

import hawthorncrank.protocol.Repetition
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against an answer whose upstream stopped inside its head and that reaches the caller as a complete one. */
class TruncatedHeadTest {
    private val call = RoutedEntryFixture.route("/call/", tier = 1).copy(repetition = Repetition.AT_MOST_ONCE)
    private val stream = RoutedEntryFixture.route("/stream/", tier = 1, streamed = true)
    private val heads =
        mapOf(
            "length" to "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n",
            "chunks" to "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "connection" to "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
        )

    @TestFactory
    fun `a head that ends at any of its bytes is no answer`() =
        heads.flatMap { (name, head) ->
            listOf(call, stream).map { route ->
                DynamicTest.dynamicTest("$name, ${route.pathPrefix}") {
                    val statuses = head.indices.associateWith { status(route.pathPrefix, head.take(it)) }
                    assertEquals(emptyMap(), statuses.filterValues { it != HTTP_BAD_GATEWAY })
                }
            }
        }

    private fun status(
        path: String,
        received: String,
    ): Int =
        ClosingUpstream(listOf(ClosingAnswer(received))).use { upstream ->
            val routes = listOf(call, stream).map { it.copy(engineAttempts = 1) }
            RoutedEntryFixture.entry(upstream.port, routes).use { entry ->
                RoutedEntryFixture.send(entry.httpPort, path, "a").status
            }
        }
}
