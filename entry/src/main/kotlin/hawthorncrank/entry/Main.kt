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
import hawthorncrank.entry.internal.EntryEventCode
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CountDownLatch

/** Runs one entry until it is told to stop; SIGTERM lets everything in flight end first. */
private class EntryCommand : CliktCommand(name = "hawthorncrank-entry") {
    private val settings by option(help = "TOML file with this entry's settings").path().required()

    override fun run() {
        val file = settings.toString()
        val log = eventLog("entry")
        val entry =
            loadSettings(settings, EntryProgramSettings.serializer())
                .andThen { startEntry(it, file, systemClock(), log) }
                .getOrElse { throw CliktError(it.message) }
        val finished = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                entry.stop { finished.countDown() }
                finished.await()
                entry.close()
                log.record(EntryEventCode.STOPPED)
                LogManager.shutdown()
                // A process that ended by a signal has a non-zero status unless it halts itself.
                Runtime.getRuntime().halt(0)
            },
        )
        CountDownLatch(1).await()
    }
}

fun main(arguments: Array<String>) = EntryCommand().main(arguments)
