package hawthorncrank.control

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

/** Runs one control replica until SIGTERM, or until its data folder fails. */
private class ControlCommandLine : CliktCommand(name = "hawthorncrank-control") {
    private val settings by option(help = "TOML file with this replica's settings").path().required()

    override fun run() {
        val file = settings.toString()
        val log = eventLog("control")
        val failed = CountDownLatch(1)
        val control =
            loadSettings(settings, ControlSettings.serializer())
                .andThen { startControl(it, file, systemClock(), log) { failed.countDown() } }
                .getOrElse { throw CliktError(it.message) }
        Runtime.getRuntime().addShutdownHook(
            Thread {
                control.close()
                LogManager.shutdown()
                // A process that ends by a signal has a non-zero status unless it halts itself.
                Runtime.getRuntime().halt(if (failed.count == 0L) FAILURE_STATUS else 0)
            },
        )
        failed.await()
        throw CliktError("the replica cannot go on; its log names the cause")
    }

    private companion object {
        const val FAILURE_STATUS = 1
    }
}

fun main(arguments: Array<String>) = ControlCommandLine().main(arguments)
