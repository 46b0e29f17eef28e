package hawthorncrank.entry.internal

import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.internal.RoutedEntryFixture.IDENTIFIER_HEADER
import hawthorncrank.protocol.Repetition
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a status that means "not run" for a request of which the upstream does not state that. */
class UnstatedRefusalTest {
    private val idempotent = route("/idempotent/", Repetition.IDEMPOTENT)
    private val atMostOnce = route("/once/", Repetition.AT_MOST_ONCE)
    private val stream = atMostOnce.copy(name = "/stream/", pathPrefix = "/stream/", streamed = true)

    @TestFactory
    fun `an unstated refusal is answered with an unknown outcome and without the upstream's headers`() =
        listOf(idempotent to 2, atMostOnce to 1, stream to 1).map { (route, attempts) ->
            DynamicTest.dynamicTest(route.pathPrefix) {
                KeptConnectionUpstream { answer("503 Service Unavailable") }.use { upstream ->
                    val answer = send(upstream, route.pathPrefix)
                    assertEquals(
                        HTTP_BAD_GATEWAY to "unknown",
                        answer.status to answer.headers[OUTCOME_HEADER.lowercase()],
                    )
                    assertEquals(
                        emptySet(),
                        answer.headers.keys intersect setOf(SIGNATURE_HEADER, RETRY_AFTER.lowercase()),
                    )
                    assertEquals(attempts, upstream.calls.size)
                }
            }
        }

    @Test
    fun `an idempotent request is sent again after an unstated refusal`() {
        KeptConnectionUpstream {
            answer(
                if (it.connection ==
                    1
                ) {
                    "429 Too Many Requests"
                } else {
                    "200 OK"
                },
            )
        }.use { upstream ->
            assertEquals(HTTP_OK, send(upstream, idempotent.pathPrefix).status)
        }
    }

    private fun send(
        upstream: KeptConnectionUpstream,
        path: String,
    ): HttpAnswer {
        val protocol =
            RoutedEntryFixture.protocol { _, status, _ ->
                if (status == HTTP_OK) UpstreamReply.Accepted else UpstreamReply.OutcomeUnknown
            }
        return RoutedEntryFixture
            .entry(upstream.port, listOf(idempotent, atMostOnce, stream), protocol = protocol)
            .use { RoutedEntryFixture.send(it.httpPort, path, "a") }
    }

    private fun answer(status: String) =
        "HTTP/1.1 $status\r\n$IDENTIFIER_HEADER: a\r\n$SIGNATURE_HEADER: s\r\n$RETRY_AFTER: 1\r\n" +
            "Content-Length: 4\r\n\r\nbusy"

    private fun route(
        path: String,
        repetition: Repetition,
    ) = RoutedEntryFixture.route(path, tier = 1).copy(repetition = repetition, engineAttempts = 2)

    private companion object {
        const val SIGNATURE_HEADER = "test-signature"
    }
}
