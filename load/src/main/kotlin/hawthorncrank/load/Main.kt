package hawthorncrank.load

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import hawthorncrank.common.eventLog
import hawthorncrank.common.loadSettings
import java.nio.file.Path

/** Sends a workload to running entries and reports the results. */
private class LoadCommand : CliktCommand(name = "hawthorncrank-load") {
    private val workload by option(help = "TOML file that describes the load").path().required()
    private val output by option(help = "folder for result.json and latency.png").path().default(Path.of("load-result"))

    override fun run() {
        val file = workload.toString()
        val loaded = loadSettings(workload, Workload.serializer()).getOrElse { throw CliktError(it.message) }
        loaded.firstFailure(file)?.let { throw CliktError(it.message) }
        val outcome = runLoad(loaded, output, eventLog("load")) { echo(it, err = true) }
        echo(outcome.table)
        if (!outcome.correct) throw ProgramResult(EXIT_INCORRECT)
    }

    private companion object {
        const val EXIT_INCORRECT = 2
    }
}

fun main(arguments: Array<String>) = LoadCommand().main(arguments)
