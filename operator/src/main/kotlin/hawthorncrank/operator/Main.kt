package hawthorncrank.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import hawthorncrank.common.EventLog
import hawthorncrank.common.loadSettings
import hawthorncrank.common.systemClock
import hawthorncrank.operator.internal.ClaimCommand
import hawthorncrank.operator.internal.ConfigurationCommand
import hawthorncrank.operator.internal.ConfirmCommand
import hawthorncrank.operator.internal.ControlSession
import hawthorncrank.operator.internal.ConvictionCommand
import hawthorncrank.operator.internal.DrainCommand
import hawthorncrank.operator.internal.EngineCommand
import hawthorncrank.operator.internal.ExplainCommand
import hawthorncrank.operator.internal.FormCommand
import hawthorncrank.operator.internal.HashKeyCommand
import hawthorncrank.operator.internal.HistoryCommand
import hawthorncrank.operator.internal.LinkReplicaCall
import hawthorncrank.operator.internal.PlanCommand
import hawthorncrank.operator.internal.SessionSource
import hawthorncrank.operator.internal.StatusCommand
import hawthorncrank.operator.internal.UsageCommand
import java.nio.file.Path

/** The operators' command line. */
private class OperatorCommandLine : CliktCommand("hawthorncrank") {
    private val settings by option(help = "TOML file with the control addresses and the operator's key").path()
    private val verbose by option(help = "print each command that is sent, with the address of the replica").flag()

    override fun help(context: Context) = "Operate a hawthorncrank fleet through its control group"

    override fun run() {
        currentContext.obj = SessionSource { openSession() }
    }

    private fun openSession(): ControlSession {
        val file = settings ?: throw CliktError("--settings is missing; name the TOML file with the control addresses")
        val loaded = load(file)
        val log =
            if (verbose) {
                EventLog {
                    event,
                    fields,
                    ->
                    echo("${event.number} ${event.text} $fields", err = true)
                }
            } else {
                NO_LOG
            }
        return ControlSession(loaded.control, LinkReplicaCall(loaded, log), systemClock(), log)
    }

    private fun load(file: Path): OperatorSettings {
        val loaded = loadSettings(file, OperatorSettings.serializer()).getOrElse { throw CliktError(it.message) }
        loaded.firstFailure(file.toString())?.let { throw CliktError(it.message) }
        return loaded
    }

    private companion object {
        val NO_LOG = EventLog { _, _ -> }
    }
}

fun main(arguments: Array<String>) =
    OperatorCommandLine()
        .subcommands(
            FormCommand(),
            StatusCommand(),
            ConfigurationCommand(),
            PlanCommand(),
            ConfirmCommand(),
            HistoryCommand(),
            UsageCommand(),
            ExplainCommand(),
            DrainCommand(),
            ConvictionCommand(),
            ClaimCommand(),
            EngineCommand(),
            HashKeyCommand(),
        ).main(arguments)
