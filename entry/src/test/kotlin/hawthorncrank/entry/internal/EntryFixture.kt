package hawthorncrank.entry.internal

import com.github.michaelbull.result.unwrap
import hawthorncrank.common.EventLog
import hawthorncrank.common.KeyHash
import hawthorncrank.common.Reducer
import hawthorncrank.common.Transition
import hawthorncrank.common.systemClock
import hawthorncrank.entry.EntryProgramSettings
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.ResumePoint
import hawthorncrank.entry.core.UpstreamTimeouts
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.ServiceRoute
import hawthorncrank.protocol.TrafficClass
import kotlinx.collections.immutable.toPersistentList
import java.time.Duration
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** An entry on loopback ports that takes its decisions from [decide] and records the events that it receives. */
internal class EntryFixture(
    limits: ProcessLimits = ProcessLimits(),
    private val decide: EntryFixture.(EntryEvent) -> List<EntryEffect>,
) : AutoCloseable {
    private val received = LinkedBlockingQueue<EntryEvent>()
    private val reducer =
        Reducer<Unit, EntryEvent, EntryEffect> { state, event, _ ->
            if (event !is EntryEvent.Tick) received.add(event)
            Transition(state, decide(event).toPersistentList())
        }
    val process =
        EntryProcess(settings(), systemClock(), SILENT, reducer, Unit, KeyHash::verify, limits).open("test").unwrap()

    init {
        process.send(EntryEvent.ControlLinkOpened)
        awaitEvent { it is EntryEvent.ControlLinkOpened }
        while (exchange(process.operationsPort, "GET", "/readyz").status != 200) Thread.onSpinWait()
    }

    fun post(
        path: String,
        body: String,
        vararg headers: String,
    ) = exchange(process.httpPort, "POST", path, body, listOf("Authorization: Bearer $KEY") + headers)

    fun awaitEvent(matches: (EntryEvent) -> Boolean): EntryEvent {
        while (true) {
            val event = checkNotNull(received.poll(10, TimeUnit.SECONDS)) { "no such event within 10 s" }
            if (matches(event)) return event
        }
    }

    override fun close() = process.close()

    companion object {
        val SILENT = EventLog { _, _ -> }
        const val KEY = "crew.secret"
        const val CHAT = """{"model":"m","stream":true,"messages":[{"role":"user","content":"knots"}]}"""
        const val UNSTREAMED_CHAT = """{"model":"m","messages":[{"role":"user","content":"knots"}]}"""

        val CONFIGURATION =
            Configuration(
                classes = listOf(TrafficClass("booking", tier = 1), TrafficClass("quick", tier = 1)),
                organisations =
                    listOf(
                        Organisation("crew", "north", listOf("booking", "quick"), listOf(KeyHash.hash(KEY, 1))),
                        Organisation("mill", "north", emptyList(), listOf(KeyHash.hash("mill.secret", 1))),
                    ),
                services = listOf(ServiceRoute("bookings", "/bookings", "booking")),
            )

        fun settings(httpAddress: String = "127.0.0.1:0") =
            EntryProgramSettings(
                name = "entry-1",
                availabilityZone = "zone-1",
                region = "north",
                httpAddress = httpAddress,
                operationsAddress = "127.0.0.1:0",
                linkAddress = "127.0.0.1:0",
                fleetKey = "key",
                control = listOf("127.0.0.1:1"),
            )

        fun configured() =
            listOf(
                EntryEffect.ConfigurationApplied(1, CONFIGURATION),
                EntryEffect.ReadinessChanged(true, "test"),
            )

        /** Sends every request once to the upstream at [port]; [others] handles all other events. */
        fun routingTo(
            port: Int,
            others: (EntryEvent) -> List<EntryEffect> = { emptyList() },
        ): EntryFixture.(EntryEvent) -> List<EntryEffect> =
            { event ->
                when (event) {
                    EntryEvent.ControlLinkOpened -> configured()
                    is EntryEvent.RequestArrived -> listOf(attempt(event.request, number = event.request.number, port))
                    else -> others(event)
                }
            }

        fun attempt(
            request: CallerRequest,
            number: Long,
            port: Int,
            resume: ResumePoint? = null,
            timeouts: UpstreamTimeouts = UpstreamTimeouts(1_000, 10_000, 10_000),
        ) = EntryEffect.StartAttempt(
            attemptNumber = number,
            requestNumber = request.number,
            upstream = "engine-1",
            address = "127.0.0.1:$port",
            priority = 3,
            timeouts = timeouts,
            deadlineMilliseconds = null,
            claimNumber = 7,
            resume = resume,
        )

        fun shortLimits() =
            ProcessLimits(Duration.ofMillis(200), PortLimits(headMilliseconds = 200, idleMilliseconds = 200))
    }
}
