package hawthorncrank.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onFailure
import hawthorncrank.capacity.ReportedStream
import hawthorncrank.common.EventLog
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.SettingsFailure
import hawthorncrank.consensus.replicaStorage
import hawthorncrank.control.internal.ControlProcess
import hawthorncrank.control.internal.PlatformSources
import hawthorncrank.control.internal.storageFailure
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import reactor.core.publisher.Mono
import java.nio.file.Path

/** A running control replica. Closing it syncs the queued writes to disk and closes its links. */
interface Control : AutoCloseable {
    val linkPort: Int
    val httpPort: Int

    /**
     * Executes a command of an operator whom the caller has authenticated. [answer] is called once, on the control
     * thread, and must not block.
     */
    fun execute(
        operator: String,
        command: OperatorCommand,
        answer: (OperatorAnswer) -> Unit,
    )
}

/** Asks the platform for all upstreams that it lists. */
typealias UpstreamListSource = () -> Mono<List<ListedUpstream>>

/**
 * Asks the engine at an address what it holds for its streams. An error of the Mono means that it did not tell.
 */
typealias EngineReportSource = (address: String) -> Mono<Map<String, ReportedStream>>

/**
 * Starts a control replica. Error messages name [file] as the settings file. [onFatalError] is called when the replica
 * cannot continue, on a thread that must not wait for [Control.close]. Entries that are linked to the replica get the
 * platform's list from [upstreams]; without it they read the list themselves. Settings with duties need [platform], which
 * makes the calls, and those with engine reports need [engineReports].
 */
fun startControl(
    settings: ControlSettings,
    file: String,
    clock: MillisecondClock,
    log: EventLog,
    upstreams: UpstreamListSource? = null,
    platform: PlatformDuties? = null,
    engineReports: EngineReportSource? = null,
    onFatalError: () -> Unit,
): Result<Control, SettingsFailure> {
    val effective = settings.withDiscoveredReplicas()
    effective.firstFailure(file)?.let { return Err(it) }
    // The platform knows machines by the names of their settings, not by their link addresses.
    val rules = effective.dutyRules(settings.name)
    if (rules != null && platform == null) return Err(noAdapter(file))
    if (settings.engineReports && (engineReports == null || upstreams == null)) return Err(noReports(file))
    val sources = PlatformSources(upstreams, platform, engineReports.takeIf { settings.engineReports })
    val storage = replicaStorage(Path.of(settings.dataFolder))
    return storage
        .open()
        .mapError { storageFailure(file, settings, it) }
        .andThen { recovered ->
            ControlProcess(effective, file, clock, log, storage, recovered, rules, sources, onFatalError).open()
        }.onFailure { storage.close() }
}

private fun noReports(file: String) =
    SettingsFailure.InvalidValue(
        file,
        "engine_reports",
        "this program cannot read the reports of engines or the platform's list",
        "remove it, or start the program of the platform's adapter with platform_address",
    )

private fun noAdapter(file: String) =
    SettingsFailure.InvalidValue(
        file,
        "duties",
        "this program cannot call the platform",
        "remove the duties, or start the program of the platform's adapter",
    )
