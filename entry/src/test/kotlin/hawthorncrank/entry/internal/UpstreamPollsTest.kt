package hawthorncrank.entry.internal

import hawthorncrank.entry.core.CacheChange
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.LoadReport
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class UpstreamPollsTest {
    private val events = LinkedBlockingQueue<EntryEvent>()

    @Test
    fun `load, cache events and members are polled and reported`() {
        val engine =
            FakeUpstream { request, response, _ ->
                val path = request.uri()
                val text =
                    when {
                        path == "/load" -> """{"sequence":4,"running":2,"queued":1,"slots":8,"token_interval":9.5}"""
                        path == "/cache-events?after=0" ->
                            """{"events":[{"sequence":3,"stored":["ffffffffffffffff"],"evicted":["0000000000000002"]}]}"""
                        path == "/members" -> """{"live":["engine-1"],"leaving":["engine-2"],"region":"north"}"""
                        else -> """{"events":[]}"""
                    }
                response.sendString(Mono.just(text))
            }
        polls(engine.port).use { polls ->
            polls.start()
            val received = List(3) { checkNotNull(events.poll(10, TimeUnit.SECONDS)) }.toSet()
            assertEquals(
                setOf(
                    EntryEvent.LoadReported("engine-1", LoadReport(4, 2, 1, 8, 9.5)),
                    EntryEvent.CacheChanged("engine-1", CacheChange(3, listOf(-1L), listOf(2L))),
                    EntryEvent.MembershipReported(setOf("engine-1"), setOf("engine-2")),
                ),
                received,
            )
        }
        engine.close()
    }

    /** Guards against malformed answers of one engine that stop all other polls. */
    @Test
    fun `malformed answers are ignored`() {
        val engine =
            FakeUpstream { request, response, _ ->
                val members = """{"live":[],"leaving":[]}"""
                response.sendString(Mono.just(if (request.uri() == "/members") members else "[1"))
            }
        polls(engine.port).use { polls ->
            polls.start()
            repeat(
                2,
            ) { assertEquals(EntryEvent.MembershipReported(emptySet(), emptySet()), events.poll(10, TimeUnit.SECONDS)) }
        }
        engine.close()
    }

    /** An answer without an end, which is sent as fast as it is read, would fill the memory. */
    @Test
    fun `deeply nested and endless answers are ignored`() {
        val nested = "[".repeat(100_000) + "]".repeat(100_000)
        val part = " ".repeat(PART_BYTES)
        val endlessBytes = AtomicLong()
        val endless = Flux.generate<String> { it.next(part) }.doOnNext { endlessBytes.addAndGet(it.length.toLong()) }
        val engine =
            FakeUpstream { request, response, _ ->
                when (request.uri()) {
                    "/members" -> response.sendString(Mono.just("""{"live":[],"leaving":[]}"""))
                    "/load" -> response.sendString(endless)
                    else -> response.sendString(Mono.just("""{"events":[],"labels":$nested}"""))
                }
            }
        polls(engine.port).use { polls ->
            polls.start()
            repeat(2) {
                assertEquals(EntryEvent.MembershipReported(emptySet(), emptySet()), events.poll(10, TimeUnit.SECONDS))
            }
        }
        engine.close()
        assertTrue(endlessBytes.get() < MOST_BYTES_OF_TWO_POLLS, "$endlessBytes bytes were sent")
    }

    @Test
    fun `probes distinguish reachable from unreachable upstreams`() {
        val engine = FakeUpstream.answering(200, "{}")
        val closed = ServerSocket(0).use { it.localPort }
        polls(engine.port).use { polls ->
            polls.probe("engine-1", "127.0.0.1:${engine.port}")
            assertEquals(EntryEvent.ProbeAnswered("engine-1", true), events.poll(10, TimeUnit.SECONDS))
            polls.probe("service-1", "127.0.0.1:${engine.port}")
            assertEquals(EntryEvent.ProbeAnswered("service-1", true), events.poll(10, TimeUnit.SECONDS))
            listOf("engine-1", "service-1").forEach { name ->
                polls.probe(name, "127.0.0.1:$closed")
                assertEquals(EntryEvent.ProbeAnswered(name, false), events.poll(10, TimeUnit.SECONDS))
            }
        }
        engine.close()
    }

    private fun polls(port: Int): UpstreamPolls {
        val upstreams =
            listOf(
                Upstream("engine-1", UpstreamKind.ENGINE, "127.0.0.1:$port", "zone-1", "north"),
                Upstream("engine-far", UpstreamKind.ENGINE, "127.0.0.1:$port", "zone-2", "north"),
            )
        val view = ConfigurationView(1, EntryFixture.CONFIGURATION.copy(upstreams = upstreams))
        return UpstreamPolls("zone-1", "127.0.0.1:$port", { view }, events::add, EntryFixture.SILENT)
    }

    private companion object {
        const val PART_BYTES = 4 * 1024
        const val MOST_BYTES_OF_TWO_POLLS = 64L shl 20
    }
}
