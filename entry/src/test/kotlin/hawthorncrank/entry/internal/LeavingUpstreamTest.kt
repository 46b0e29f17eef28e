package hawthorncrank.entry.internal

import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.internal.RoutedEntryFixture.IDENTIFIER_HEADER
import hawthorncrank.entry.internal.RoutedEntryFixture.LEAVING_HEADER
import hawthorncrank.entry.internal.RoutedEntryFixture.NOT_RUN_HEADER
import hawthorncrank.protocol.Repetition
import io.netty.handler.codec.http.HttpHeaders
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against requests to an upstream whose answers say that it leaves, or that it wants none for a time. */
class LeavingUpstreamTest {
    private val route = RoutedEntryFixture.route("/call/", tier = 1).copy(repetition = Repetition.IDEMPOTENT)
    private val stream = RoutedEntryFixture.route("/stream/", tier = 1, streamed = true)

    @TestFactory
    fun `an upstream gets no further request after it said in any kind of answer that it leaves`() =
        mapOf(
            "answer" to answer("200 OK", LEAVING),
            "stream" to answer("200 OK", LEAVING + "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n"),
            "error" to answer("500 Internal Server Error", LEAVING),
            "refusal" to answer("503 Service Unavailable", LEAVING + "$NOT_RUN_HEADER: 1\r\n"),
        ).map { (kind, answer) ->
            DynamicTest.dynamicTest(kind) { assertEquals(listOf("a"), calls(kind, answer)) }
        }

    /** Such an answer may have been written by an earlier start of the upstream. */
    @Test
    fun `an answer to another request does not mark the upstream as leaving`() {
        val upstream =
            KeptConnectionUpstream { call ->
                val earlier = call.connection == 1
                val identifier = if (earlier) "earlier" else call.identifier
                answer("200 OK", "$IDENTIFIER_HEADER: $identifier\r\n" + if (earlier) LEAVING else "")
            }
        assertEquals(listOf("a", "b"), calls(upstream, route.pathPrefix, ::classifyByIdentifier))
    }

    @TestFactory
    fun `an upstream that refuses with 503 and a time gets no request within this time`() =
        mapOf(HTTP_UNAVAILABLE to listOf("a"), HTTP_TOO_MANY_REQUESTS to listOf("a", "b")).map { (status, got) ->
            DynamicTest.dynamicTest("$status") {
                val answer = answer("$status Refused", "$NOT_RUN_HEADER: 1\r\nRetry-After: 600\r\n")
                assertEquals(got, calls("refusal", answer) { UpstreamReply.Rejected(600_000) })
            }
        }

    private fun calls(
        kind: String,
        answer: String,
        classify: (Int) -> UpstreamReply = ::rejectedIfUnavailable,
    ): List<String> {
        val path = if (kind == "stream") stream.pathPrefix else route.pathPrefix
        return calls(KeptConnectionUpstream { answer }, path) { _, status, _ -> classify(status) }
    }

    /** Sends two requests to the upstream, and returns the identifiers of those that it got. */
    private fun calls(
        upstream: KeptConnectionUpstream,
        path: String,
        classify: (String, Int, HttpHeaders) -> UpstreamReply,
    ): List<String> =
        upstream.use {
            val protocol = RoutedEntryFixture.protocol(classify)
            RoutedEntryFixture.entry(upstream.port, listOf(route, stream), protocol = protocol).use { entry ->
                for (identifier in listOf("a", "b")) RoutedEntryFixture.send(entry.httpPort, path, identifier)
            }
            upstream.calls.map { it.identifier }.distinct()
        }

    private fun classifyByIdentifier(
        identifier: String,
        @Suppress("UNUSED_PARAMETER") status: Int,
        headers: HttpHeaders,
    ): UpstreamReply =
        if (headers.get(IDENTIFIER_HEADER) == identifier) UpstreamReply.Accepted else UpstreamReply.Mismatched

    private fun rejectedIfUnavailable(status: Int): UpstreamReply =
        if (status == HTTP_UNAVAILABLE) UpstreamReply.Rejected(null) else UpstreamReply.Accepted

    private fun answer(
        status: String,
        headers: String,
        body: String = "",
    ) = "HTTP/1.1 $status\r\n$headers" + "Content-Length: ${body.length}\r\n\r\n$body"

    private companion object {
        const val LEAVING = "$LEAVING_HEADER: 1\r\n"
    }
}
