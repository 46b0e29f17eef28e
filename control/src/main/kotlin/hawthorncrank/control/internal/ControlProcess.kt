package hawthorncrank.control.internal

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import hawthorncrank.common.EventLog
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.SettingsFailure
import hawthorncrank.consensus.RecoveredReplica
import hawthorncrank.consensus.ReplicaPeer
import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.consensus.ReplicaStorage
import hawthorncrank.consensus.StorageFailure
import hawthorncrank.consensus.replicaReducer
import hawthorncrank.consensus.startReplica
import hawthorncrank.control.Control
import hawthorncrank.control.ControlSettings
import hawthorncrank.control.PlatformDuties
import hawthorncrank.control.UpstreamListSource
import hawthorncrank.control.formation
import hawthorncrank.control.formsGroup
import hawthorncrank.control.unknownDuties
import hawthorncrank.link.LinkFailure
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import reactor.netty.DisposableServer
import java.security.SecureRandom
import java.util.UUID
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Owns the threads, links and ports of one control replica. */
internal class ControlProcess(
    private val settings: ControlSettings,
    private val file: String,
    private val clock: MillisecondClock,
    private val log: EventLog,
    private val storage: ReplicaStorage,
    recovered: RecoveredReplica,
    private val dutyRules: DutyRules?,
    sources: PlatformSources,
    private val onFatalError: () -> Unit,
) : Control {
    private val replicaSettings =
        replicaSettings(
            settings,
            settings.replicas.filter { it.name != settings.name }.map { ReplicaPeer(it.name, it.address) },
        )
    private val replica = replicaReducer(replicaSettings)
    private val thread = controlThread(recovered)
    private val keys = OperatorKeys(settings.operators)
    private val links = ControlLinks(settings, keys, log, thread::send)
    private val storageThread = StorageThread(storage, log, { thread.send(ControlEvent.Replica(it)) }, onFatalError)
    private val orders = OrderClient(::expiryOf, thread::send)
    private val metrics = ControlMetrics({ thread.state }, log::dropped)
    private val listReader = sources.upstreams?.let { UpstreamListReader(it, thread::send, log) }
    private val reportReader = sources.engineReports?.let { EngineReportReader(it, thread::send) }
    private val duties = dutyRules?.let { rules -> sources.duties?.let { dutyClient(rules, it) } }
    private val closed = AtomicBoolean()
    private val readyToStop = CountDownLatch(1)
    private val localOperators = LocalOperators { thread.send(it) }
    private var server: DisposableServer? = null

    override val linkPort: Int get() = links.port
    override val httpPort: Int get() = server?.port() ?: 0

    fun open(): Result<Control, SettingsFailure> =
        links
            .listen()
            .mapError(::linkFailure)
            .andThen { openOperationsPort(file, settings.httpAddress, pages()) }
            .map { opened ->
                server = opened
                storageThread.start()
                thread.start()
                links.connect()
                if (settings.formsGroup) localOperators.execute("bootstrap", formGroupCommand()) {}
                log.record(ControlEventCode.STARTED, "replica" to settings.name, "zone" to settings.availabilityZone)
                settings.unknownDuties.forEach { log.record(ControlEventCode.DUTY_UNKNOWN, "duty" to it) }
                this
            }

    override fun execute(
        operator: String,
        command: OperatorCommand,
        answer: (OperatorAnswer) -> Unit,
    ) = localOperators.execute(operator, command, answer)

    /** A replica that already belongs to a group refuses this command. */
    private fun formGroupCommand() = OperatorCommand.FormGroup(listOf(thread.state.replica.self))

    override fun close() {
        if (!closed.compareAndSet(false, true)) return
        handOver()
        thread.send(ControlEvent.Stop)
        thread.stop()
        storageThread.stop()
        links.close()
        keys.close()
        server?.disposeNow()
        log.record(ControlEventCode.STOPPED, "replica" to settings.name)
    }

    /** If this machine is removed for good, a replica that waits for its place should not have to notice its silence. */
    private fun handOver() {
        if (!thread.running) return
        thread.send(ControlEvent.Leave)
        if (!readyToStop.await(HAND_OVER_LIMIT_MILLISECONDS, TimeUnit.MILLISECONDS)) {
            log.record(ControlEventCode.HAND_OVER_UNFINISHED, "milliseconds" to HAND_OVER_LIMIT_MILLISECONDS)
        }
    }

    private fun controlThread(recovered: RecoveredReplica): ControlThread {
        val now = clock.now()
        val seed = SecureRandom().nextLong()
        val started =
            startReplica(replicaSettings, settings.name, ownAddress(), recovered, seed, now).let { transition ->
                val state =
                    ProcessState(
                        replica = transition.state,
                        nonce = UUID.randomUUID().toString(),
                        startedAt = now,
                        wallOffset = clock.wallTime() - now,
                        usage = settings.usageRules()?.let { UsageCollection(it) },
                        requiredVoters = settings.voters ?: 1,
                        entryReleaseDelay = entryReleaseDelay(replicaSettings),
                        dutyRules = dutyRules,
                        engineReadings = EngineReadings().takeIf { settings.engineReports },
                    )
                startedProcess(replica, state, transition.effects, now)
            }
        return ControlThread(controlReducer(replica), started, clock, log, ::carryOut, onFatalError)
    }

    /** The address at which other replicas reach this one, which may differ from the address that it listens on. */
    private fun ownAddress() = settings.replicas.first { it.name == settings.name }.address

    private fun carryOut(effect: ControlEffect) {
        when (effect) {
            is ControlEffect.Persist, is ControlEffect.EncodeSnapshot -> storageThread.submit(effect)
            is ControlEffect.SendToReplica -> links.sendToReplica(effect.replica, effect.envelope)
            is ControlEffect.NotifyReplica -> links.sendToReplica(effect.replica, effect.notice)
            is ControlEffect.SendToLink ->
                if (effect.link == LocalOperators.LINK) {
                    localOperators.deliverAnswer(effect.message)
                } else {
                    links.sendToLink(effect.link, effect.message)
                }
            is ControlEffect.CloseLink -> links.closeLink(effect.link)
            is ControlEffect.ReadyToStop -> readyToStop.countDown()
            is ControlEffect.PostOrder -> orders.post(effect)
            is ControlEffect.ReadUpstreamList -> listReader?.read(effect.askedAt)
            is ControlEffect.ReadEngineReport -> reportReader?.read(effect)
            is ControlEffect.CallPlatform -> duties?.call(effect.call)
            is ControlEffect.CountDutyCall -> metrics.count(effect)
            is ControlEffect.MeasureCommand -> metrics.measure(effect)
            is ControlEffect.Record -> log.record(effect.event, effect.fields)
        }
    }

    private fun expiryOf(term: Long) = orderExpiry(thread.state, term, clock.now(), clock.wallTime())

    private fun dutyClient(
        rules: DutyRules,
        platform: PlatformDuties,
    ) = DutyClient(
        platform,
        rules.machine,
        rules.callLimit,
        mayCall = { token -> dutyCallAllowed(thread.state, token, clock.now()) },
        send = thread::send,
    )

    private fun pages() =
        OperationsPages(
            healthProblem = {
                val stalled = clock.now() - thread.reducedAt
                if (stalled > STALL_MILLISECONDS) "no event processed for $stalled ms; restart the process" else null
            },
            readinessProblem = {
                val state = thread.state.replica
                when {
                    thread.state.stopping -> "stopping"
                    state.awaitsAdmission -> "waits to be admitted to the group"
                    state.group == null -> "belongs to no group; form one with: hawthorncrank form"
                    state.leader == null -> "no leader is known; check that a majority of replicas runs"
                    else -> null
                }
            },
            metrics = metrics::scrape,
        )

    private fun linkFailure(failure: LinkFailure): SettingsFailure =
        when (failure) {
            is LinkFailure.AddressUnavailable ->
                SettingsFailure.PortInUse(file, "link_address", settings.linkAddress)
            is LinkFailure.MalformedAddress ->
                SettingsFailure.InvalidValue(file, "link_address", failure.problem, failure.remedy)
        }

    private companion object {
        const val STALL_MILLISECONDS = 5_000L

        // An election and two membership changes.
        const val HAND_OVER_LIMIT_MILLISECONDS = 2_000L
    }
}

/**
 * How many milliseconds after its last contact with a leader a replica keeps the links of entries. By then an election
 * that succeeds in its second round is over, and the last confirmation of the configuration that an entry received is
 * still recent enough when the entry links to another replica.
 */
internal fun entryReleaseDelay(settings: ReplicaSettings): Long =
    minOf(MAXIMUM_ENTRY_RELEASE_DELAY_MILLISECONDS, 2 * settings.electionTimeoutMaximum)

private fun replicaSettings(
    settings: ControlSettings,
    peers: List<ReplicaPeer>,
): ReplicaSettings {
    val defaults = ReplicaSettings(peers, targetVoters = settings.voters.takeIf { settings.discoversReplicas })
    val heartbeat = settings.heartbeat?.value ?: defaults.heartbeatInterval
    val election = settings.electionTimeout?.value ?: defaults.electionTimeoutMinimum
    return defaults.copy(
        heartbeatInterval = heartbeat,
        electionTimeoutMinimum = election,
        // As in the defaults, the longest timeout is twice the shortest, so that elections rarely collide.
        electionTimeoutMaximum = 2 * election,
        lostVoterTimeout = 2 * election,
        formation = settings.formation,
    )
}

internal fun storageFailure(
    file: String,
    settings: ControlSettings,
    failure: StorageFailure,
): SettingsFailure =
    when (failure) {
        is StorageFailure.Unusable -> SettingsFailure.UnwritableFolder(file, "data_folder", settings.dataFolder)
        is StorageFailure.Corrupt, is StorageFailure.InUse ->
            SettingsFailure.InvalidValue(file, "data_folder", failure.problem, failure.remedy)
    }
