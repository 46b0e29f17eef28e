package hawthorncrank.control

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.andThen
import hawthorncrank.common.eventLog
import hawthorncrank.common.loadSettings
import hawthorncrank.common.systemClock

/** Runs one control replica until SIGTERM or a fatal error, such as a failure of its data folder. */
private class ControlCommandLine : CliktCommand(name = "hawthorncrank-control") {
    private val settings by option(help = "TOML file with this replica's settings").path().required()

    override fun run() {
        val file = settings.toString()
        val log = eventLog("control")
        runControl(log) { onFatalError ->
            loadSettings(settings, ControlSettings.serializer())
                .andThen { startControl(it, file, systemClock(), log, onFatalError = onFatalError) }
        }
    }
}

fun main(arguments: Array<String>) = ControlCommandLine().main(arguments)
