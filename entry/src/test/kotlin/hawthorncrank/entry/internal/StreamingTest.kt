package hawthorncrank.entry.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.CancelReason
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.ResumePoint
import hawthorncrank.entry.core.TimeoutPhase
import hawthorncrank.entry.core.UpstreamTimeouts
import hawthorncrank.entry.internal.EntryFixture.Companion.CHAT
import hawthorncrank.entry.internal.EntryFixture.Companion.UNSTREAMED_CHAT
import hawthorncrank.entry.internal.EntryFixture.Companion.attempt
import hawthorncrank.entry.internal.EntryFixture.Companion.configured
import hawthorncrank.entry.internal.EntryFixture.Companion.routingTo
import hawthorncrank.entry.internal.FakeUpstream.Companion.DONE
import hawthorncrank.entry.internal.FakeUpstream.Companion.event
import reactor.core.publisher.Flux
import java.net.Socket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class StreamingTest {
    /** Guards against bytes that are lost, repeated or reordered when chunks do not match event boundaries. */
    @Test
    fun `a stream arrives byte for byte when chunks do not match events`() {
        val whole = (1..300).joinToString("") { event("word $it") } + DONE
        FakeUpstream.streaming(Flux.fromIterable(whole.chunked(17))).use { upstream ->
            EntryFixture(decide = routingTo(upstream.port)).use { entry ->
                val answer = entry.post("/v1/chat/completions", CHAT)
                assertEquals(whole, answer.body)
                assertEquals("ran", answer.headers["hawthorncrank-outcome"])
                assertTrue(answer.headers.getValue("hawthorncrank-request").startsWith("entry-1-"))
                val ended = entry.awaitEvent { it is EntryEvent.AttemptEnded } as EntryEvent.AttemptEnded
                assertEquals(AttemptEnd.Completed(200, 300, whole.length.toLong(), null), ended.end)
                assertContains(upstream.bodies.single(), "\"priority\":3")
                assertEquals(null, upstream.headers.single()["authorization"])
            }
        }
    }

    @Test
    fun `an answer that is not streamed is forwarded with its status`() {
        FakeUpstream.answering(418, """{"usage":{"completion_tokens":9}}""").use { upstream ->
            EntryFixture(decide = routingTo(upstream.port)).use { entry ->
                val answer = entry.post("/v1/chat/completions", UNSTREAMED_CHAT)
                assertEquals(418, answer.status)
                assertEquals("""{"usage":{"completion_tokens":9}}""", answer.body)
                val ended = entry.awaitEvent { it is EntryEvent.AttemptEnded } as EntryEvent.AttemptEnded
                assertEquals(9, assertIs<AttemptEnd.Completed>(ended.end).tokens)
            }
        }
    }

    /** Guards against a broken stream that looks complete, and against an incomplete event before the error event. */
    @Test
    fun `a stream that breaks ends with an error event`() {
        FakeUpstream.breaking(listOf(event("a"), "data: {\"half")).use { upstream ->
            val decide =
                routingTo(upstream.port) { event ->
                    val ended = event as? EntryEvent.AttemptEnded ?: return@routingTo emptyList()
                    listOf(EntryEffect.AbortStream(ended.attemptNumber, "the upstream broke off"))
                }
            EntryFixture(decide = decide).use { entry ->
                val body = entry.post("/v1/chat/completions", CHAT).body
                assertEquals(event("a") + "event: error\n", body.take(event("a").length + 13))
                assertContains(body, "the upstream broke off")
            }
        }
    }

    @Test
    fun `a stream that closes cleanly without its end marker counts as broken`() {
        FakeUpstream.streaming(Flux.just(event("a"))).use { upstream ->
            val decide =
                routingTo(upstream.port) { event ->
                    val ended = event as? EntryEvent.AttemptEnded ?: return@routingTo emptyList()
                    assertIs<AttemptEnd.Broken>(ended.end)
                    listOf(EntryEffect.AbortStream(ended.attemptNumber, "incomplete"))
                }
            EntryFixture(decide = decide).use { entry ->
                assertContains(entry.post("/v1/chat/completions", CHAT).body, "incomplete")
            }
        }
    }

    /** Guards against a resumed stream that repeats or skips bytes where it continues. */
    @Test
    fun `a broken stream resumes after the bytes that the caller has`() {
        val rest = event("b") + DONE
        val broken = FakeUpstream.breaking(listOf(event("a"), "data: {\"half"))
        val resumed = FakeUpstream.streaming(Flux.just(rest))
        val decide: EntryFixture.(EntryEvent) -> List<EntryEffect> = { event ->
            when (event) {
                EntryEvent.ControlLinkOpened -> configured()
                is EntryEvent.RequestArrived -> {
                    first = event.request
                    listOf(attempt(event.request, number = 1, broken.port))
                }
                is EntryEvent.AttemptEnded ->
                    if (event.attemptNumber == 1L) {
                        listOf(attempt(first!!, number = 2, resumed.port, ResumePoint(1, 0)))
                    } else {
                        emptyList()
                    }
                else -> emptyList()
            }
        }
        EntryFixture(decide = decide).use { entry ->
            assertEquals(event("a") + rest, entry.post("/v1/chat/completions", CHAT).body)
            assertContains(
                resumed.bodies.single(),
                "\"resume_token\":\"stream-1\",\"resume_offset\":${event("a").length}",
            )
        }
        broken.close()
        resumed.close()
    }

    private var first: CallerRequest? = null

    /** Guards against a late answer of a superseded attempt that reaches the caller after bytes of another attempt. */
    @Test
    fun `only the current attempt's bytes reach the caller`() {
        val late = FakeUpstream.streaming(Flux.never())
        val current = FakeUpstream.streaming(Flux.just(event("current"), DONE))
        val decide: EntryFixture.(EntryEvent) -> List<EntryEffect> = { event ->
            when (event) {
                EntryEvent.ControlLinkOpened -> configured()
                is EntryEvent.RequestArrived ->
                    listOf(
                        attempt(event.request, number = 1, late.port),
                        EntryEffect.CancelAttempt(1, CancelReason.SUPERSEDED),
                        attempt(event.request, number = 2, current.port),
                    )
                else -> emptyList()
            }
        }
        EntryFixture(decide = decide).use { entry ->
            assertEquals(event("current") + DONE, entry.post("/v1/chat/completions", CHAT).body)
            val ended = entry.awaitEvent { it is EntryEvent.AttemptEnded } as EntryEvent.AttemptEnded
            assertEquals(EntryEvent.AttemptEnded(1, AttemptEnd.Cancelled(0)), ended)
        }
        late.close()
        current.close()
    }

    /** Guards against unbounded buffering for a caller that does not read. */
    @Test
    fun `a slow caller applies back-pressure to its upstream`() {
        val produced = AtomicLong()
        val big = event("x".repeat(64 * 1024))
        val parts = Flux.range(0, 4_000).map { big }.doOnNext { produced.addAndGet(big.length.toLong()) }
        FakeUpstream.streaming(parts).use { upstream ->
            EntryFixture(decide = routingTo(upstream.port)).use { entry ->
                Socket("127.0.0.1", entry.process.httpPort).use { caller ->
                    caller.getOutputStream().write(rawPost(CHAT).toByteArray())
                    entry.awaitEvent { it is EntryEvent.AttemptFirstByte }
                    awaitUnchanged(produced, entry.process.operationsPort)
                    assertTrue(produced.get() < 64L * 1024 * 1024, "the upstream sent ${produced.get()} bytes")
                }
                entry.awaitEvent { it is EntryEvent.CallerLeft }
            }
        }
    }

    @Test
    fun `a caller that leaves is reported and its attempt is cancelled upstream`() {
        FakeUpstream.streaming(Flux.just(event("a")).concatWith(Flux.never())).use { upstream ->
            val decide =
                routingTo(upstream.port) { event ->
                    val left = event as? EntryEvent.CallerLeft ?: return@routingTo emptyList()
                    listOf(EntryEffect.CancelAttempt(left.requestNumber, CancelReason.CALLER_LEFT))
                }
            EntryFixture(decide = decide).use { entry ->
                Socket("127.0.0.1", entry.process.httpPort).use { caller ->
                    caller.getOutputStream().write(rawPost(CHAT).toByteArray())
                    entry.awaitEvent { it is EntryEvent.AttemptFirstByte }
                }
                entry.awaitEvent { it is EntryEvent.CallerLeft }
                val ended = entry.awaitEvent { it is EntryEvent.AttemptEnded } as EntryEvent.AttemptEnded
                assertEquals(AttemptEnd.Cancelled(1), ended.end)
                assertTrue(upstream.abandoned.await(10, TimeUnit.SECONDS))
            }
        }
    }

    @Test
    fun `an attempt at an upstream that stops sending ends with the phase of the timeout`() {
        FakeUpstream.streaming(Flux.just(event("a")).concatWith(Flux.never())).use { upstream ->
            val timeouts = UpstreamTimeouts(connect = 1_000, firstByte = 10_000, betweenBytes = 50)
            val decide: EntryFixture.(EntryEvent) -> List<EntryEffect> = { event ->
                when (event) {
                    EntryEvent.ControlLinkOpened -> configured()
                    is EntryEvent.RequestArrived ->
                        listOf(attempt(event.request, event.request.number, upstream.port, timeouts = timeouts))
                    is EntryEvent.AttemptEnded -> listOf(EntryEffect.AbortStream(event.attemptNumber, "timed out"))
                    else -> emptyList()
                }
            }
            EntryFixture(decide = decide).use { entry ->
                assertContains(entry.post("/v1/chat/completions", CHAT).body, "event: error")
                val ended = entry.awaitEvent { it is EntryEvent.AttemptEnded } as EntryEvent.AttemptEnded
                assertEquals(AttemptEnd.TimedOut(TimeoutPhase.BETWEEN_BYTES, 1, event("a").length.toLong()), ended.end)
            }
        }
    }

    private fun rawPost(body: String) =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer ${EntryFixture.KEY}\r\n" +
            "Content-Length: ${body.length}\r\n\r\n$body"

    /** Waits until the count stays the same while the entry answers [UNCHANGED_EXCHANGES] other requests. */
    private fun awaitUnchanged(
        count: AtomicLong,
        operationsPort: Int,
    ) {
        var unchanged = 0
        var last = -1L
        while (unchanged < UNCHANGED_EXCHANGES) {
            assertEquals(200, exchange(operationsPort, "GET", "/healthz").status)
            val value = count.get()
            unchanged = if (value == last) unchanged + 1 else 0
            last = value
        }
    }

    private companion object {
        const val UNCHANGED_EXCHANGES = 300
    }
}
