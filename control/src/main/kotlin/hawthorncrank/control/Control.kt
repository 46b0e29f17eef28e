package hawthorncrank.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onFailure
import hawthorncrank.common.EventLog
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.SettingsFailure
import hawthorncrank.consensus.replicaStorage
import hawthorncrank.control.internal.ControlProcess
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
 * Starts a control replica. Error messages name [file] as the settings file. [onFatalError] is called when the replica
 * cannot continue, on a thread that must not wait for [Control.close]. Entries that are linked to the replica get the
 * platform's list from [upstreams]; without it they read the list themselves. Settings with duties need [platform], which
 * makes the calls.
 */
fun startControl(
    settings: ControlSettings,
    file: String,
    clock: MillisecondClock,
    log: EventLog,
    upstreams: UpstreamListSource? = null,
    platform: PlatformDuties? = null,
    onFatalError: () -> Unit,
): Result<Control, SettingsFailure> {
    val effective = settings.withDiscoveredReplicas()
    effective.firstFailure(file)?.let { return Err(it) }
    // The platform knows machines by the names of their settings, not by their link addresses.
    val rules = effective.dutyRules(settings.name)
    if (rules != null && platform == null) return Err(noAdapter(file))
    val storage = replicaStorage(Path.of(settings.dataFolder))
    return storage
        .open()
        .mapError { storageFailure(file, settings, it) }
        .andThen { recovered ->
            ControlProcess(effective, file, clock, log, storage, recovered, upstreams, rules, platform, onFatalError)
                .open()
        }.onFailure { storage.close() }
}

private fun noAdapter(file: String) =
    SettingsFailure.InvalidValue(
        file,
        "duties",
        "this program cannot call the platform",
        "remove the duties, or start the program of the platform's adapter",
    )
