package hawthorncrank.entry.internal

import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.internal.RoutedEntryFixture.IDENTIFIER_HEADER
import hawthorncrank.protocol.Repetition
import hawthorncrank.protocol.RequestRoute
import io.netty.handler.codec.http.HttpHeaders
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against an earlier refusal that an upstream writes once more on a kept connection. */
class RepeatedRefusalTest {
    private val idempotent = route("/idempotent/", Repetition.IDEMPOTENT)
    private val atMostOnce = route("/once/", Repetition.AT_MOST_ONCE)
    private val stream = route("/stream/", Repetition.AT_MOST_ONCE).copy(streamed = true)
    private val routes = listOf(idempotent, atMostOnce, stream)

    /** The copy has the identifier of a request that is sent again, so it fits the run that it arrives in front of. */
    @TestFactory
    fun `a request that was refused is not refused again by the copy of its refusal`() =
        eachRoute { path ->
            val upstream = KeptConnectionUpstream { if (it.connection == 1) refusal(it.identifier) else answer(it) }
            serving(upstream) { send -> assertEquals(HTTP_OK, send(path, "a").status) }
        }

    /** Each later answer on such a connection would be the answer to the request before. */
    @TestFactory
    fun `a connection with the answer to another request is not used again`() =
        eachRoute { path ->
            var earlier = refusal("a")
            val upstream =
                KeptConnectionUpstream { call ->
                    if (call.connection > 1) return@KeptConnectionUpstream answer(call)
                    earlier.also { earlier = answer(call) }
                }
            serving(upstream) { send ->
                send(path, "a")
                send(path, "b")
                val third = send(path, "c")
                assertEquals(HTTP_OK to event("c"), third.status to third.body)
                assertEquals(1, upstream.calls.count { it.connection == 1 && it.identifier == "b" })
            }
        }

    /** The HTTP client drops the part that arrives before the next request, or takes the rest for the next answer. */
    @TestFactory
    fun `a copy that arrives in part before the next request does not refuse that request`() =
        eachRoute { path ->
            val copy = refusal("a")
            for (before in listOf(0, 1, copy.length / 2, copy.length - 1, copy.length)) {
                val upstream =
                    KeptConnectionUpstream { call ->
                        when {
                            call.identifier == "a" -> refusal("a") + copy.take(before)
                            call.connection == 1 && call.identifier == "b" -> copy.drop(before) + answer(call)
                            else -> answer(call)
                        }
                    }
                serving(upstream) { send ->
                    assertEquals(HTTP_UNAVAILABLE, send(path, "a").status)
                    assertContains(listOf(HTTP_OK, HTTP_BAD_GATEWAY), send(path, "b").status, "$before bytes before")
                    val third = send(path, "c")
                    assertEquals(HTTP_OK to event("c"), third.status to third.body, "$before bytes before")
                }
            }
        }

    /** The HTTP client would read the part of the copy and the next answer as one refusal of the next request. */
    @Test
    fun `truncated copies do not refuse the request that follows them`() {
        val part = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: "
        for (path in listOf(atMostOnce, stream).map { it.pathPrefix }) {
            val upstream = KeptConnectionUpstream { if (it.identifier == "a") refusal("a") + part else answer(it) }
            serving(upstream) { send ->
                send(path, "a")
                send(path, "b")
                assertEquals(
                    1,
                    upstream.calls.count { it.identifier == "b" },
                    "$path: a request that ran was sent again",
                )
            }
        }
    }

    private fun eachRoute(check: (path: String) -> Unit) =
        routes.map { DynamicTest.dynamicTest(it.pathPrefix) { check(it.pathPrefix) } }

    private fun serving(
        upstream: KeptConnectionUpstream,
        check: (send: (path: String, identifier: String) -> HttpAnswer) -> Unit,
    ) = upstream.use {
        val protocol = RoutedEntryFixture.protocol(::classify)
        RoutedEntryFixture.entry(upstream.port, routes, protocol = protocol).use { entry ->
            check { path, identifier -> RoutedEntryFixture.send(entry.httpPort, path, identifier) }
        }
    }

    private fun classify(
        identifier: String,
        status: Int,
        headers: HttpHeaders,
    ): UpstreamReply =
        when {
            headers.get(IDENTIFIER_HEADER) != identifier -> UpstreamReply.Mismatched
            status == HTTP_UNAVAILABLE -> UpstreamReply.Rejected(retryAfterMilliseconds = null)
            else -> UpstreamReply.Accepted
        }

    private fun refusal(identifier: String) =
        "HTTP/1.1 503 Service Unavailable\r\n$IDENTIFIER_HEADER: $identifier\r\nContent-Length: 0\r\n\r\n"

    private fun answer(call: KeptConnectionCall): String {
        val body = event(call.identifier)
        return "HTTP/1.1 200 OK\r\n$IDENTIFIER_HEADER: ${call.identifier}\r\nContent-Type: text/event-stream\r\n" +
            "Content-Length: ${body.length}\r\n\r\n$body"
    }

    private fun event(text: String) = "id: 1\ndata: $text\n\n"

    private fun route(
        path: String,
        repetition: Repetition,
    ): RequestRoute = RoutedEntryFixture.route(path, tier = 1).copy(repetition = repetition, engineAttempts = 2)
}
