package hawthorncrank.entry.internal

import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.EntryState
import hawthorncrank.entry.core.entryReducer
import hawthorncrank.entry.internal.RoutedEntryFixture.route
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.Relay
import reactor.core.publisher.Flux
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against an entry that serves its callers badly although another entry reaches the engines. */
class RelayedRequestTest {
    private val routes = listOf(route("/model/", tier = 1), route("/stream/", tier = 1, streamed = true))

    @Test
    fun `a request is refused although another entry reaches the engine`() {
        FakeUpstream.answering(HTTP_OK, "the whole answer").use { engine ->
            withTwoEntries(engine.port) { stranded, _ ->
                val answer = RoutedEntryFixture.send(stranded.httpPort, "/model/", "attempt-7")
                assertEquals(HTTP_OK to "the whole answer", answer.status to answer.body)
                val received = engine.headers.single()
                assertEquals("attempt-7", received[RoutedEntryFixture.IDENTIFIER_HEADER])
            }
        }
    }

    @Test
    fun `a stream is cut off although another entry reaches the engine`() {
        val events = (1..40).joinToString("") { "id: $it\ndata: event $it\n\n" }
        FakeUpstream.streaming(Flux.just(events)).use { engine ->
            withTwoEntries(engine.port) { stranded, _ ->
                val answer = StreamCaller.receive(stranded.httpPort, "1.1")
                assertTrue(answer.complete, answer.text)
                assertEquals(events, answer.events)
            }
        }
    }

    @Test
    fun `a request goes round between entries that all lack the engine`() {
        withTwoEntries(closedPort()) { stranded, relaying ->
            val answer = RoutedEntryFixture.send(relaying, "/model/", "attempt-8")
            assertEquals(MISDIRECTED, answer.status)
            assertTrue(stranded.httpPort > 0)
        }
    }

    /** Runs an entry whose engine has no port, beside one whose engine listens on [enginePort] and that relays. */
    private fun withTwoEntries(
        enginePort: Int,
        check: (stranded: EntryProcess<EntryState>, relayPort: Int) -> Unit,
    ) = entry(enginePort).use { relaying ->
        entry(closedPort()).use { stranded ->
            val relay = Relay("near", "zone", "127.0.0.1:${relaying.relayPort}")
            listOf(relaying, stranded).forEach(::awaitReady)
            stranded.send(EntryEvent.ControlMessageReceived(ControlToEntry.RelayList(listOf(relay))))
            check(stranded, checkNotNull(relaying.relayPort))
        }
    }

    private fun entry(enginePort: Int) =
        RoutedEntryFixture.entry(
            enginePort,
            routes,
            reducer = entryReducer(RoutedEntryFixture.settings.copy(relayAddress = RELAY_ADDRESS)),
            relayAddress = RELAY_ADDRESS,
        )

    private fun awaitReady(entry: EntryProcess<EntryState>) {
        while (exchange(entry.operationsPort, "GET", "/readyz").status != HTTP_OK) Thread.onSpinWait()
    }

    private fun closedPort(): Int = ServerSocket(0).use { it.localPort }

    private companion object {
        const val RELAY_ADDRESS = "127.0.0.1:0"
        const val MISDIRECTED = 421
    }
}
