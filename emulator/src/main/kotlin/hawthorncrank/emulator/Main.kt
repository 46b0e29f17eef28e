package hawthorncrank.emulator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import hawthorncrank.common.eventLog
import hawthorncrank.common.loadSettings
import hawthorncrank.common.systemClock
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CountDownLatch

/** Runs stand-ins for engines, services and the platform until the process is stopped. */
private class EmulatorCommand : CliktCommand(name = "hawthorncrank-emulator") {
    private val settings by option(help = "TOML file that lists the stand-ins").path().required()

    override fun run() {
        val file = settings.toString()
        val emulator =
            loadSettings(settings, EmulatorSettings.serializer())
                .andThen { startEmulator(it, file, systemClock(), eventLog("emulator")) }
                .getOrElse { throw CliktError(it.message) }
        Runtime.getRuntime().addShutdownHook(
            Thread {
                emulator.close()
                LogManager.shutdown()
                Runtime.getRuntime().halt(0)
            },
        )
        CountDownLatch(1).await()
    }
}

fun main(arguments: Array<String>) = EmulatorCommand().main(arguments)
