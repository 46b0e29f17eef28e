package hawthorncrank.entry

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

/** Runs one entry until SIGTERM. The process exits when the requests in flight have ended. */
private class EntryCommand : CliktCommand(name = "hawthorncrank-entry") {
    private val settings by option(help = "TOML file with this entry's settings").path().required()

    override fun run() {
        val file = settings.toString()
        val log = eventLog("entry")
        val entry =
            loadSettings(settings, EntryProgramSettings.serializer())
                .andThen { startEntry(it, file, systemClock(), log) }
                .getOrElse { throw CliktError(it.message) }
        runUntilStopped(entry, log)
    }
}

fun main(arguments: Array<String>) = EntryCommand().main(arguments)
