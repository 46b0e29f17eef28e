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
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import java.nio.file.Path

/** A running control replica. Closing it syncs what is under way and ends its links. */
interface Control : AutoCloseable {
    val linkPort: Int
    val httpPort: Int

    /**
     * Carries out a command of an operator whom the caller has authenticated. [answer] is called once, on the control
     * thread, and must not block.
     */
    fun execute(
        operator: String,
        command: OperatorCommand,
        answer: (OperatorAnswer) -> Unit,
    )
}

/**
 * Starts a control replica; [file] names the settings in errors. [failed] is called when the replica cannot go on, on a
 * thread that must not wait for [Control.close].
 */
fun startControl(
    settings: ControlSettings,
    file: String,
    clock: MillisecondClock,
    log: EventLog,
    failed: () -> Unit,
): Result<Control, SettingsFailure> {
    val effective = settings.withDiscoveredReplicas()
    effective.firstFailure(file)?.let { return Err(it) }
    val storage = replicaStorage(Path.of(settings.dataFolder))
    return storage
        .open()
        .mapError { storageFailure(file, settings, it) }
        .andThen { recovered -> ControlProcess(effective, file, clock, log, storage, recovered, failed).open() }
        .onFailure { storage.close() }
}
