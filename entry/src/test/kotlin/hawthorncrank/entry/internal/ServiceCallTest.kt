package hawthorncrank.entry.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.internal.EntryFixture.Companion.routingTo
import hawthorncrank.protocol.CallOutcome
import reactor.core.publisher.Mono
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ServiceCallTest {
    private val key = "Idempotency-Key: k1"

    @Test
    fun `a call that is not idempotent needs an idempotency key`() {
        FakeUpstream.answering(201, "{}").use { upstream ->
            EntryFixture(decide = routingTo(upstream.port)).use { entry ->
                val answer = entry.post("/bookings/1", "{}")
                assertEquals(400, answer.status)
                assertContains(answer.body, "Idempotency-Key")
                assertEquals("not-run", answer.headers["hawthorncrank-outcome"])
                assertEquals(emptyList<String>(), upstream.bodies)
            }
        }
    }

    /** Guards against an answer that is sent to the caller before its outcome is recorded. */
    @Test
    fun `an answer is held until its release and states that its record is pending`() {
        FakeUpstream.answering(201, "booked").use { upstream ->
            val decide =
                routingTo(upstream.port) { event ->
                    val ended = event as? EntryEvent.AttemptEnded ?: return@routingTo emptyList()
                    val answer = assertIs<CallOutcome.Answered>(assertIs<AttemptEnd.Completed>(ended.end).answer)
                    assertContentEquals("booked".toByteArray(), answer.body)
                    listOf(EntryEffect.ReleaseAnswer(ended.attemptNumber, recorded = false))
                }
            EntryFixture(decide = decide).use { entry ->
                val answer = entry.post("/bookings/1?seat=2", "{}", key)
                assertEquals(201, answer.status)
                assertEquals("booked", answer.body)
                assertEquals("pending", answer.headers["hawthorncrank-recorded"])
                assertEquals("ran", answer.headers["hawthorncrank-outcome"])
                assertEquals("7", upstream.headers.single()["hawthorncrank-claim"])
                assertEquals("k1", upstream.headers.single()["idempotency-key"])
            }
        }
    }

    @Test
    fun `a recorded answer is replayed without an upstream`() {
        val decide: EntryFixture.(EntryEvent) -> List<EntryEffect> = { event ->
            when (event) {
                EntryEvent.ControlLinkOpened -> EntryFixture.configured()
                is EntryEvent.RequestArrived ->
                    listOf(EntryEffect.ReplayAnswer(event.request.number, 201, "text/plain", "earlier".toByteArray()))
                else -> emptyList()
            }
        }
        EntryFixture(decide = decide).use { entry ->
            assertEquals("earlier", entry.post("/bookings", "{}", key).body)
        }
    }

    /** Guards against a call that was sent and then lost but is reported as never sent. */
    @Test
    fun `a connection lost after dispatch is reported as broken`() {
        val upstream =
            FakeUpstream { request, _, _ ->
                request.withConnection { it.channel().close() }
                Mono.never()
            }
        EntryFixture(decide = routingTo(upstream.port, ::refuseAsUnknown)).use { entry ->
            val answer = entry.post("/bookings", "{}", key)
            assertEquals("unknown", answer.headers["hawthorncrank-outcome"])
            val ended = entry.awaitEvent { it is EntryEvent.AttemptEnded } as EntryEvent.AttemptEnded
            assertIs<AttemptEnd.Broken>(ended.end)
            assertEquals(1, upstream.bodies.size)
        }
        upstream.close()
    }

    /** Guards against an HTTP client that retries a call on its own after a failed write. */
    @Test
    fun `a call whose writing fails is not sent twice`() {
        val connections = AtomicInteger()
        val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val connection = runCatching { server.accept() }.getOrNull() ?: break
                connections.incrementAndGet()
                connection.getInputStream().readNBytes(1_000)
                connection.setSoLinger(true, 0)
                connection.close()
            }
        }
        EntryFixture(decide = routingTo(server.localPort, ::refuseAsUnknown)).use { entry ->
            repeat(5) { number ->
                entry.post("/bookings", "x".repeat(3_000_000), "Idempotency-Key: k$number")
                val ended = entry.awaitEvent { it is EntryEvent.AttemptEnded } as EntryEvent.AttemptEnded
                assertIs<AttemptEnd.Broken>(ended.end)
            }
        }
        server.close()
        assertEquals(5, connections.get())
    }

    @Test
    fun `a refused connection is reported as not connected and refused work as rejected`() {
        val unused = ServerSocket(0).use { it.localPort }
        EntryFixture(decide = routingTo(unused, ::refuseAsUnknown)).use { entry ->
            entry.post("/bookings", "{}", key)
            assertEquals(
                AttemptEnd.NotConnected,
                (
                    entry.awaitEvent {
                        it is EntryEvent.AttemptEnded
                    } as EntryEvent.AttemptEnded
                ).end,
            )
        }
        val full = FakeUpstream { _, response, _ -> response.status(503).header("Retry-After", "2").send() }
        EntryFixture(decide = routingTo(full.port, ::refuseAsUnknown)).use { entry ->
            entry.post("/bookings", "{}", key)
            assertEquals(
                AttemptEnd.Rejected(2_000, concernsUpstream = true),
                (
                    entry.awaitEvent {
                        it is EntryEvent.AttemptEnded
                    } as EntryEvent.AttemptEnded
                ).end,
            )
        }
        full.close()
    }

    private fun refuseAsUnknown(event: EntryEvent): List<EntryEffect> =
        if (event is EntryEvent.AttemptEnded) {
            listOf(EntryEffect.RefuseCaller(event.attemptNumber, Refusal.OutcomeUnknown(7)))
        } else {
            emptyList()
        }
}
