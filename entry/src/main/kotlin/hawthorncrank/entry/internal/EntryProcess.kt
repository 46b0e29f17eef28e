package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onFailure
import hawthorncrank.common.EventLog
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.Reducer
import hawthorncrank.common.SettingsFailure
import hawthorncrank.entry.Entry
import hawthorncrank.entry.EntryProgramSettings
import hawthorncrank.entry.RoutedTraffic
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.firstFailure
import hawthorncrank.link.LinkFailure
import reactor.core.publisher.Flux
import reactor.netty.DisposableServer
import java.time.Duration

/** Connects the parts of an entry. The reducer, which makes the decisions, is a parameter that tests can replace. */
internal class EntryProcess<State>(
    private val settings: EntryProgramSettings,
    clock: MillisecondClock,
    private val log: EventLog,
    reducer: Reducer<State, EntryEvent, EntryEffect>,
    initial: State,
    verify: (String, String) -> Boolean,
    private val limits: ProcessLimits = ProcessLimits(),
    client: UpstreamClient = upstreamClient(),
    private val routed: RoutedTraffic? = null,
) : Entry {
    private val metrics = EntryMetrics()
    private val control: ControlThread<State> =
        ControlThread(reducer, initial, clock, log, {
            metrics.recordControlDelay(it)
        }, ::refuseAfterFault) { effects.execute(it) }
    private val activeExchanges = ActiveExchanges(client, clock::now, report = control::send)
    private val keys = ApiKeyAuthenticator(verify)
    private val callerInterface =
        if (routed == null) nativeCallers(keys) else routedCallers(routed.protocol)
    private val links = EntryLinks(settings, control::send, log)
    private val polls =
        UpstreamPolls(settings.availabilityZone, settings.platformAddress, { view }, control::send, log)
    private val listPolls = routed?.let { UpstreamListPolls(it.listing, control::send, log) }
    private val effects: EffectExecutor =
        EffectExecutor(
            activeExchanges,
            links,
            polls,
            metrics,
            log,
            callerInterface.refusals,
            { view = it },
            { readiness = it },
            { listPolls?.enabled = it },
            { connections.closeWhenAnswered() },
            ::finishWhenNoRequestsAreOpen,
            clock::wallTime,
        )

    // Request numbers of earlier processes of this entry must not be reused: claims and explanations refer to them.
    private val firstNumber = clock.wallTime() * REQUEST_NUMBERS_PER_MILLISECOND
    private val callers =
        CallerServer(
            settings.name,
            callerInterface,
            activeExchanges,
            { view },
            ::rejectionsAreFinal,
            clock::now,
            limits.bodyTime,
            firstNumber,
            log,
            { stopping },
        )
    private val connections = CallerConnections()
    private val operations = OperationsServer(metrics) { readiness }
    private val servers = mutableListOf<DisposableServer>()

    @Volatile private var view: ConfigurationView? = null

    @Volatile private var readiness = Readiness(false, "no configuration yet")

    @Volatile private var finished: () -> Unit = {}

    @Volatile private var stopping = false

    override val httpPort: Int get() = servers[HTTP].port()
    override val operationsPort: Int get() = servers[OPERATIONS].port()
    val linkPort: Int get() = links.port

    /** The port for requests of other entries, or null if this entry relays none. */
    var relayPort: Int? = null
        private set

    /** Opens every port and link, or none. */
    fun open(file: String): Result<EntryProcess<State>, SettingsFailure> =
        check(file)
            .andThen { openHttp(file) }
            .andThen { openOperations(file) }
            .andThen { openMetrics(file) }
            .andThen { openRelays(file) }
            .andThen { links.listen().mapError { listenFailure(file, it) } }
            .andThen { links.connect().mapError { connectFailure(file, it) } }
            .map {
                metrics.gauge("hawthorncrank.requests.in.progress") { activeExchanges.inProgress }
                metrics.gauge("hawthorncrank.log.records.dropped", log::dropped)
                metrics.gauge("hawthorncrank.configuration.version") { view?.version ?: 0 }
                control.start()
                listPolls?.start() ?: polls.start()
                log.record(EntryEventCode.STARTED, "name" to settings.name, "port" to httpPort)
                this
            }.onFailure { close() }

    override fun stop(finished: () -> Unit) {
        this.finished = finished
        stopping = true
        log.record(EntryEventCode.STOP_REQUESTED, "in_progress" to activeExchanges.inProgress)
        control.send(EntryEvent.StopRequested)
    }

    fun send(event: EntryEvent) = control.send(event)

    override fun updateControlAddresses(addresses: List<String>): Result<Unit, LinkFailure> =
        links.updateControlAddresses(addresses)

    override fun close() {
        log.record(
            EntryEventCode.CLOSING,
            "connections" to connections.open,
            "unanswered" to connections.unanswered,
        )
        closeCallerConnections()
        polls.close()
        listPolls?.close()
        links.close()
        servers.forEach { it.disposeNow(Duration.ofSeconds(1)) }
        control.close()
        keys.close()
    }

    /** Requests that arrive until their connection is closed are refused, so the control thread must still run. */
    private fun closeCallerConnections() {
        servers.getOrNull(HTTP)?.disposeNow(Duration.ofSeconds(1))
        if (stopping) awaitAnswers()
        val unanswered = connections.unanswered
        if (stopping && unanswered > 0) log.record(EntryEventCode.ANSWERS_CUT, "connections" to unanswered)
        connections.closeNow()
    }

    private fun awaitAnswers() {
        Flux
            .interval(Duration.ZERO, DRAIN_CHECK_INTERVAL)
            .take(LAST_ANSWERS_LIMIT)
            .doOnNext { connections.closeWhenAnswered() }
            .takeUntil { connections.open == 0 }
            .blockLast()
    }

    // The control thread does not know requests whose bodies are still arriving; they are refused before the stop ends.
    private fun finishWhenNoRequestsAreOpen() {
        Flux
            .interval(Duration.ZERO, DRAIN_CHECK_INTERVAL)
            .takeUntil { callers.openRequests == 0 }
            .subscribe({}, {}, { finished() })
    }

    /** The state does not contain a request whose arrival could not be processed, so nothing was started for it. */
    private fun refuseAfterFault(event: EntryEvent) {
        if (event !is EntryEvent.RequestArrived) return
        val answer = callerInterface.refusals.refusal(Refusal.NotProcessed)
        activeExchanges.exchange(event.request.number)?.refuse(answer, Refusal.NotProcessed.problem)
    }

    /**
     * In routed mode a rejection is final only while the configuration is confirmed to be the newest. Readiness implies
     * this, except while the entry stops.
     */
    private fun rejectionsAreFinal(): Boolean = routed == null || readiness.ready || stopping

    private fun check(file: String): Result<Unit, SettingsFailure> =
        settings.firstFailure(file)?.let { Err(it) } ?: Ok(Unit)

    private fun openHttp(file: String): Result<Unit, SettingsFailure> {
        val tls = settings.tlsCertificate?.let { TlsFiles(it, settings.tlsKey.orEmpty()) }
        return openPort(file, "http_address", settings.httpAddress, limits.port, tls, connections, callers::handle)
            .map { servers += it }
    }

    private fun openOperations(file: String): Result<Unit, SettingsFailure> =
        openPort(
            file,
            "operations_address",
            settings.operationsAddress,
            limits.port,
            tls = null,
            handler = operations::handle,
        ).map { servers += it }

    /** Serves the operations pages on a second address, for networks where only the load balancer reaches the first. */
    private fun openMetrics(file: String): Result<Unit, SettingsFailure> {
        val address = settings.metricsAddress ?: return Ok(Unit)
        return openPort(file, "metrics_address", address, limits.port, tls = null, handler = operations::handle)
            .map { servers += it }
    }

    /** Serves callers of other entries. Their connections end with those of this entry's own callers. */
    private fun openRelays(file: String): Result<Unit, SettingsFailure> {
        val address = settings.relayAddress?.takeIf { routed != null } ?: return Ok(Unit)
        val handle = callers::handleRelayed
        return openPort(file, "relay_address", address, limits.port, tls = null, connections, handle)
            .map {
                servers += it
                relayPort = it.port()
            }
    }

    private fun listenFailure(
        file: String,
        failure: LinkFailure,
    ): SettingsFailure =
        when (failure) {
            is LinkFailure.AddressUnavailable -> SettingsFailure.PortInUse(file, "link_address", failure.address)
            is LinkFailure.MalformedAddress ->
                SettingsFailure.InvalidValue(file, "link_address", failure.problem, failure.remedy)
        }

    private fun connectFailure(
        file: String,
        failure: LinkFailure,
    ): SettingsFailure = SettingsFailure.InvalidValue(file, "control or zone_entries", failure.problem, failure.remedy)

    private companion object {
        const val HTTP = 0
        const val OPERATIONS = 1
        val DRAIN_CHECK_INTERVAL: Duration = Duration.ofMillis(10)

        // A caller that does not read its answer must not keep the process from ending.
        val LAST_ANSWERS_LIMIT: Duration = Duration.ofSeconds(1)
        const val REQUEST_NUMBERS_PER_MILLISECOND = 1_000L
    }
}

/** Limits that tests shorten. */
internal class ProcessLimits(
    val bodyTime: Duration = Duration.ofSeconds(30),
    val port: PortLimits = PortLimits(),
)
