package hawthorncrank.operator.internal

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import hawthorncrank.intents.sentenceOf
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.EngineOrder
import hawthorncrank.protocol.OperatorCommand
import java.io.IOException
import java.nio.file.Path
import java.time.OffsetDateTime
import kotlin.io.path.readText

internal class PlanCommand : GroupCommand("plan", "Make a plan for an intent and print it; changes nothing") {
    private val sentence by argument(help = "for example \"festival week: fault guesses first\"").optional()
    private val file by option(help = "TOML file with the intent instead of a sentence").path()

    override fun run() {
        val offsetMinutes = OffsetDateTime.now().offset.totalSeconds / SECONDS_PER_MINUTE
        show(session.ask(OperatorCommand.PlanIntent(chosenSentence(), offsetMinutes)))
    }

    private fun chosenSentence(): String {
        if ((file == null) == (sentence == null)) throw UsageError("write either a sentence or --file")
        return sentence ?: file?.let(::readSentence).orEmpty()
    }

    private fun readSentence(path: Path): String {
        val text =
            try {
                path.readText()
            } catch (_: IOException) {
                throw CliktError("$path cannot be read; check the path and its permissions")
            }
        return sentenceOf(path.toString(), text).getOrElse { throw CliktError(it.message) }
    }

    private companion object {
        const val SECONDS_PER_MINUTE = 60
    }
}

internal class ConfirmCommand :
    ChangeCommand("confirm", "Apply exactly this plan if its base version is still current") {
    private val plan by argument().long()

    override fun run() = change { OperatorCommand.ConfirmPlan(plan, it) }
}

internal class DrainCommand : ChangeCommand("drain", "Stop sending new work to an upstream") {
    private val upstream by argument()
    private val undo by option(help = "send work to it again").flag()

    override fun run() = change { OperatorCommand.Drain(upstream, draining = !undo, it) }
}

internal class ConvictionCommand : CliktCommand("conviction") {
    init {
        subcommands(LiftCommand())
    }

    override fun help(context: Context) = "Lift a conviction"

    override fun run() = Unit
}

private class LiftCommand :
    ChangeCommand("lift", "Lift the conviction of a request content that crashed engines, so that it can run again") {
    private val digest by argument()

    override fun run() = change { OperatorCommand.LiftConviction(digest, it) }
}

internal class ClaimCommand : CliktCommand("claim") {
    init {
        subcommands(ResolveCommand())
    }

    override fun help(context: Context) = "Resolve a claim whose outcome is unknown"

    override fun run() = Unit
}

private class ResolveCommand : ChangeCommand("resolve", "Record whether a call ran; check at the service first") {
    private val organisation by argument()
    private val key by argument(help = "the call's idempotency key")
    private val ran by option(
        "--ran",
        help = "the call ran: resends are told that it ran and never run it again",
    ).flag()
    private val notRun by option(
        "--not-run",
        help = "the call did not run: the key is released and a resend runs",
    ).flag()

    override fun run() {
        if (ran == notRun) throw UsageError("write exactly one of --ran and --not-run")
        change { OperatorCommand.ResolveClaim(ClaimKey(organisation, key), ran, it) }
    }
}

internal class EngineCommand : CliktCommand("engine") {
    init {
        subcommands(
            OrderCommand("load", "Load a model", "model") { EngineOrder.LoadModel(it) },
            OrderCommand("unload", "Unload a model", "model") { EngineOrder.UnloadModel(it) },
            OrderCommand("role", "Change the role", "role") { EngineOrder.ChangeRole(it) },
        )
    }

    override fun help(context: Context) = "Order an engine to load or unload a model or to change its role"

    override fun run() = Unit
}

private class OrderCommand(
    name: String,
    helpText: String,
    valueName: String,
    private val order: (String) -> EngineOrder,
) : ChangeCommand(name, helpText) {
    private val upstream by argument()
    private val value by argument(valueName)

    override fun run() = change { OperatorCommand.OrderEngine(upstream, order(value), it) }
}
