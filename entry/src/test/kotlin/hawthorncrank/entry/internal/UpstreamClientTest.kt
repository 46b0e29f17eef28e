package hawthorncrank.entry.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.UpstreamTimeouts
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpMethod
import reactor.core.publisher.Mono
import java.time.Duration
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertSame
import kotlin.test.assertTrue

class UpstreamClientTest {
    private val connections = CopyOnWriteArrayList<Channel>()
    private val upstream =
        FakeUpstream { request, response, _ ->
            request.withConnection { connections += it.channel() }
            response.sendString(Mono.just("{}"))
        }

    /** Guards against a non-idempotent call on a connection that may have gone dead since its last use. */
    @Test
    fun `only idempotent calls reuse a connection beyond the idle limit of non-idempotent calls`() {
        val client = upstreamClient(nonIdempotentIdleLimit = Duration.ZERO)
        repeat(CALLS) { call(client, idempotent = false) }
        assertEquals(CALLS, connections.toSet().size)
        connections.clear()
        repeat(CALLS) { call(client, idempotent = true) }
        assertTrue(connections.toSet().size < CALLS)
        upstream.close()
    }

    @Test
    fun `a recently used connection is reused`() {
        val client = upstreamClient()
        repeat(CALLS) { call(client, idempotent = false) }
        assertTrue(connections.toSet().size < CALLS)
        upstream.close()
    }

    /** Guards against an answer that is repeated on the connection of an earlier attempt, and against open connections. */
    @Test
    fun `an attempt that needs a new connection gets one, which is closed after the answer`() {
        val client = upstreamClient()
        repeat(CALLS) { call(client, idempotent = true, newConnection = true) }
        assertEquals(CALLS, connections.toSet().size)
        connections.forEach { assertTrue(it.closeFuture().await(CLOSE_LIMIT_SECONDS, TimeUnit.SECONDS)) }
        upstream.close()
    }

    @Test
    fun `nothing is sent if it is pointless`() {
        val pointless = SendingPointless(AttemptEnd.Expired)
        val failure = runCatching { call(upstreamClient(), idempotent = true) { throw pointless } }.exceptionOrNull()
        assertSame(pointless, failure)
        assertEquals(0, upstream.headers.size)
        upstream.close()
    }

    /** The process may see only then that the caller has left. */
    @Test
    fun `an attempt is decided on after the process has read what arrived`() {
        var left = false
        val pointless = SendingPointless(AttemptEnd.Cancelled(0))
        val reading = Mono.fromRunnable<Void> { left = true }
        val failure =
            runCatching {
                call(upstreamClient(), idempotent = true, settled = reading) { if (left) throw pointless else 900 }
            }.exceptionOrNull()
        assertSame(pointless, failure)
        assertEquals(0, upstream.headers.size)
        upstream.close()
    }

    private fun call(
        client: UpstreamClient,
        idempotent: Boolean,
        newConnection: Boolean = false,
        settled: Mono<Void> = Mono.empty(),
        begin: () -> Long? = { 900 },
    ) {
        val request =
            OutgoingRequest(
                HttpMethod.POST,
                "/",
                emptyList(),
                idempotent,
                streamed = false,
                nativeExchangeFormat(),
            ) { _, _ -> ByteArray(0) }
        val attempt =
            EntryEffect.StartAttempt(
                attemptNumber = 1,
                requestNumber = 1,
                upstream = "service-1",
                address = "127.0.0.1:${upstream.port}",
                priority = 1,
                timeouts = UpstreamTimeouts(1_000, 1_000, 1_000),
                deadlineMilliseconds = 1_500,
                claimNumber = null,
                resume = null,
                newConnection = newConnection,
            )
        client
            .exchange(
                attempt,
                request,
                AttemptContent(ByteArray(0), null),
                SendingGate(settled, begin),
            ).collectList()
            .block()
        assertEquals("900", upstream.headers.last()["hawthorncrank-deadline-milliseconds"])
    }

    private companion object {
        // A connection returns to its pool shortly after the answer, so a single next call may open a new one.
        const val CALLS = 20
        const val CLOSE_LIMIT_SECONDS = 10L
    }
}
