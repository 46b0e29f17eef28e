package hawthorncrank.entry.internal

import com.github.michaelbull.result.unwrap
import hawthorncrank.common.KeyHash
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.Reducer
import hawthorncrank.common.systemClock
import hawthorncrank.entry.CallerHeaders
import hawthorncrank.entry.ExchangeProtocol
import hawthorncrank.entry.RoutedTraffic
import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.core.EntryBehaviour
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.EntrySettings
import hawthorncrank.entry.core.EntryState
import hawthorncrank.entry.core.entryReducer
import hawthorncrank.entry.core.initialEntryState
import hawthorncrank.protocol.ANONYMOUS_ORGANISATION
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.Destination
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.Repetition
import hawthorncrank.protocol.RequestRoute
import hawthorncrank.protocol.RouteService
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.routeClassName
import hawthorncrank.routing.ChoiceRule
import hawthorncrank.routing.RoutingPolicy
import hawthorncrank.scheduling.SchedulingPolicy
import io.netty.handler.codec.http.HttpHeaders
import reactor.core.publisher.Mono

/** Starts an entry with routes that needs neither a control replica nor a platform. */
internal object RoutedEntryFixture {
    const val PRIORITY_HEADER = "test-priority"
    const val IDENTIFIER_HEADER = "test-identifier"
    const val LAST_EVENT_HEADER = "test-last-event"
    const val NOT_RUN_HEADER = "test-not-run"
    const val LEAVING_HEADER = "test-leaving"
    private const val SERVICE_LEVEL = "level"
    val settings =
        EntrySettings(
            "a",
            "zone",
            "region",
            listOf("a"),
            randomSeed = 7,
            regions = mapOf("zone" to "region"),
            behaviour =
                EntryBehaviour(
                    brokenConnectionIsCrash = false,
                    connectFailuresToExclude = 1,
                    scheduling = SchedulingPolicy(preemption = false, floor = false),
                    routing = RoutingPolicy(choice = ChoiceRule.LEAST_DELAY, reservesFloors = false),
                ),
        )

    val reducer = entryReducer(settings)

    private fun acceptUnlessNotRun(
        @Suppress("UNUSED_PARAMETER") identifier: String,
        @Suppress("UNUSED_PARAMETER") status: Int,
        headers: HttpHeaders,
    ): UpstreamReply = if (headers.contains(NOT_RUN_HEADER)) UpstreamReply.Rejected(null) else UpstreamReply.Accepted

    fun protocol(classifyReply: (String, Int, HttpHeaders) -> UpstreamReply = ::acceptUnlessNotRun) =
        ExchangeProtocol(
            readCallerHeaders = {
                CallerHeaders(
                    it.get(IDENTIFIER_HEADER, "attempt"),
                    it.get("test-key"),
                    it.get("test-time")?.toLong(),
                    100,
                    10,
                    emptyList(),
                    it.get(LAST_EVENT_HEADER),
                )
            },
            writeUpstreamHeaders = { call ->
                listOf(PRIORITY_HEADER to call.priority.toString()) +
                    listOfNotNull(call.lastEventIdentifier?.let { LAST_EVENT_HEADER to it })
            },
            classifyReply = classifyReply,
            announcesLeaving = { headers -> headers.contains(LEAVING_HEADER) },
            strippedHeaders = emptySet(),
            refusalStatus = { status, _ -> status },
            writeRelayHeaders = { timeLeft, resumed ->
                listOfNotNull(
                    timeLeft?.let { "test-time" to it.toString() },
                    resumed?.let { LAST_EVENT_HEADER to it.lastEventIdentifier },
                )
            },
            formatRetryAfter = { "1" },
        )

    /** Serves the [routes] with one engine that listens on [enginePort], for callers of [organisation]. */
    fun entry(
        enginePort: Int,
        routes: List<RequestRoute>,
        organisation: Organisation = organisation(tier = null),
        protocol: ExchangeProtocol = protocol(),
        clock: MillisecondClock = systemClock(),
        client: UpstreamClient = upstreamClient(),
        reducer: Reducer<EntryState, EntryEvent, EntryEffect> = this.reducer,
        relayAddress: String? = null,
    ): EntryProcess<EntryState> {
        val process =
            EntryProcess(
                EntryFixture.settings().copy(relayAddress = relayAddress),
                clock,
                EntryFixture.SILENT,
                reducer,
                initialEntryState(settings),
                KeyHash::verify,
                client = client,
                routed = RoutedTraffic(protocol) { Mono.never() },
            ).open("test").unwrap()
        process.send(EntryEvent.ControlLinkOpened)
        process.send(update(1, configuration(routes, organisation)))
        process.send(EntryEvent.UpstreamsListed(listOf(engine(enginePort))))
        return process
    }

    fun update(
        version: Long,
        configuration: Configuration,
    ) = EntryEvent.ControlMessageReceived(ControlToEntry.ConfigurationUpdate(version, configuration, confirmed = true))

    /** Sends a request, again and again until the entry has a configuration. */
    fun send(
        port: Int,
        path: String,
        identifier: String,
    ): HttpAnswer {
        val headers = listOf("$IDENTIFIER_HEADER: $identifier", "test-time: 4000")
        return generateSequence { exchange(port, "POST", path, "{}", headers) }
            .first { "no configuration" !in it.body }
    }

    fun route(
        path: String,
        tier: Int,
        streamed: Boolean = false,
    ) = RequestRoute(
        name = path,
        host = "127.0.0.1",
        pathPrefix = path,
        serviceLevel = SERVICE_LEVEL,
        tier = tier,
        destinations = listOf(Destination("model")),
        repetition = Repetition.RESUMABLE,
        streamed = streamed,
        anonymous = true,
    )

    fun organisation(tier: Int?) =
        Organisation(
            ANONYMOUS_ORGANISATION,
            "region",
            (1..3).map { routeClassName(SERVICE_LEVEL, it) },
            emptyList(),
            tier = tier,
        )

    fun configuration(
        routes: List<RequestRoute>,
        organisation: Organisation,
    ) = Configuration(
        classes = (1..3).map { TrafficClass(routeClassName(SERVICE_LEVEL, it), it) },
        organisations = listOf(organisation),
        routes = routes,
        routeServices = listOf(RouteService("model", servesModels = true)),
    )

    private fun engine(port: Int) = ListedUpstream("engine", "model", "127.0.0.1:$port", "zone", slots = 6, false)
}
