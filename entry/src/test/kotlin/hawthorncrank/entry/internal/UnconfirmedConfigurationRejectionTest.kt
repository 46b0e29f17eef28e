package hawthorncrank.entry.internal

import com.github.michaelbull.result.unwrap
import hawthorncrank.common.KeyHash
import hawthorncrank.common.Reducer
import hawthorncrank.common.Transition
import hawthorncrank.common.systemClock
import hawthorncrank.entry.CallerHeaders
import hawthorncrank.entry.ExchangeProtocol
import hawthorncrank.entry.RoutedTraffic
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import kotlinx.collections.immutable.toPersistentList
import reactor.core.publisher.Mono
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against an entry with an outdated configuration that rejects a route or key which the newest one has. */
class UnconfirmedConfigurationRejectionTest {
    private val protocol =
        ExchangeProtocol(
            readCallerHeaders = { CallerHeaders("attempt", null, null, 0, null, emptyList(), null) },
            writeUpstreamHeaders = { emptyList() },
            classifyReply = { _, _, _ -> error("nothing is sent to an upstream") },
            announcesLeaving = { false },
            strippedHeaders = emptySet(),
            refusalStatus = { status, _ -> status },
            writeRelayHeaders = { _, _ -> emptyList() },
            formatRetryAfter = { "1" },
        )

    @Test
    fun `an unknown route gets 404 only while the configuration is confirmed to be the newest and otherwise 503`() {
        val process = entry()
        process.use {
            setReadiness(it, ready = true, status = 200)
            assertEquals(404, exchange(it.httpPort, "POST", "/unknown/", "{}").status)
            setReadiness(it, ready = false, status = 503)
            assertEquals(503, exchange(it.httpPort, "POST", "/unknown/", "{}").status)
        }
    }

    private fun entry(): EntryProcess<Unit> {
        val reducer =
            Reducer<Unit, EntryEvent, EntryEffect> { _, event, _ ->
                val effects =
                    when (event) {
                        EntryEvent.ControlLinkOpened -> configured()
                        EntryEvent.ControlLinkClosed -> listOf(EntryEffect.ReadinessChanged(false, "not confirmed"))
                        else -> emptyList()
                    }
                Transition(Unit, effects.toPersistentList())
            }
        val routed = RoutedTraffic(protocol) { Mono.never() }
        val settings = EntryFixture.settings()
        return EntryProcess(
            settings,
            systemClock(),
            EntryFixture.SILENT,
            reducer,
            Unit,
            KeyHash::verify,
            routed = routed,
        ).open("test").unwrap()
    }

    private fun configured() =
        listOf(
            EntryEffect.ConfigurationApplied(1, EntryFixture.CONFIGURATION),
            EntryEffect.ReadinessChanged(true, "configured"),
        )

    private fun setReadiness(
        process: EntryProcess<Unit>,
        ready: Boolean,
        status: Int,
    ) {
        process.send(if (ready) EntryEvent.ControlLinkOpened else EntryEvent.ControlLinkClosed)
        while (exchange(process.operationsPort, "GET", "/readyz").status != status) Thread.onSpinWait()
    }
}
