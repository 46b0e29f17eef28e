package hawthorncrank.emulator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.common.EventLog
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.SettingsFailure
import hawthorncrank.emulator.internal.EmulatorEvent
import hawthorncrank.emulator.internal.EngineServer
import hawthorncrank.emulator.internal.PlatformServer
import hawthorncrank.emulator.internal.ServiceServer
import reactor.netty.ChannelBindException

/** A running emulated engine, service or platform. */
interface StandIn : AutoCloseable {
    val name: String
    val port: Int
}

/** The running stand-ins of one process, by name. */
class Emulator internal constructor(
    private val standIns: Map<String, StandIn>,
    private val log: EventLog,
) : AutoCloseable {
    fun port(name: String): Int = standIns.getValue(name).port

    override fun close() {
        standIns.values.forEach { it.close() }
        log.record(EmulatorEvent.STOPPED)
    }
}

/** Starts every stand-in in [settings]. If one fails, closes those already started. Errors name [file]. */
fun startEmulator(
    settings: EmulatorSettings,
    file: String,
    clock: MillisecondClock,
    log: EventLog,
): Result<Emulator, SettingsFailure> {
    val plannedStandIns =
        settings.engines.map { PlannedStandIn("engines", it.address) { EngineServer(it, clock, log) } } +
            settings.services.map { PlannedStandIn("services", it.address) { ServiceServer(it) } } +
            settings.platforms.map { PlannedStandIn("platforms", it.address) { PlatformServer(it, clock) } }
    val started = mutableListOf<StandIn>()
    plannedStandIns.forEach { planned ->
        val failure = planned.start(file, started) ?: return@forEach
        started.forEach { it.close() }
        return Err(failure)
    }
    log.record(EmulatorEvent.STARTED, "stand_ins" to started.joinToString(" ") { "${it.name}:${it.port}" })
    return Ok(Emulator(started.associateBy { it.name }, log))
}

private class PlannedStandIn(
    private val section: String,
    private val address: String,
    private val create: () -> StandIn,
) {
    fun start(
        file: String,
        started: MutableList<StandIn>,
    ): SettingsFailure? {
        val port = address.substringAfterLast(':', "").toIntOrNull()
        if (port == null || port !in 0..MAXIMUM_PORT) {
            val remedy = "write host and port, as in \"127.0.0.1:8101\""
            return SettingsFailure.InvalidValue(file, "$section.address", "\"$address\" is not an address", remedy)
        }
        return try {
            started += create()
            null
        } catch (_: ChannelBindException) {
            SettingsFailure.PortInUse(file, "$section.address", address)
        }
    }
}

private const val MAXIMUM_PORT = 65_535
