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

internal class PlanCommand : GroupCommand("plan", "Turn an intent into a plan to read; changes nothing") {
    private val sentence by argument(help = "for example \"festival week: fault guesses first\"").optional()
    private val file by option(help = "TOML file with the intent instead of a sentence").path()

    override fun run() {
        val offsetMinutes = OffsetDateTime.now().offset.totalSeconds / SECONDS_PER_MINUTE
        show(session.ask(OperatorCommand.PlanIntent(words(), offsetMinutes)))
    }

    private fun words(): String {
        if ((file == null) == (sentence == null)) throw UsageError("write either a sentence or --file")
        return sentence ?: file?.let(::wordsOf).orEmpty()
    }

    private fun wordsOf(chosen: Path): String {
        val text =
            try {
                chosen.readText()
            } catch (_: IOException) {
                throw CliktError("$chosen cannot be read; check the path and its permissions")
            }
        return sentenceOf(chosen.toString(), text).getOrElse { throw CliktError(it.message) }
    }

    private companion object {
        const val SECONDS_PER_MINUTE = 60
    }
}

internal class ConfirmCommand : ChangeCommand("confirm", "Apply exactly this plan on its base version, or nothing") {
    private val plan by argument().long()

    override fun run() = change { OperatorCommand.ConfirmPlan(plan, it) }
}

internal class DrainCommand : ChangeCommand("drain", "Give an upstream no new work") {
    private val upstream by argument()
    private val undo by option(help = "give it work again").flag()

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
    ChangeCommand("lift", "Let a request content run again that was convicted of crashing engines") {
    private val digest by argument()

    override fun run() = change { OperatorCommand.LiftConviction(digest, it) }
}

internal class ClaimCommand : CliktCommand("claim") {
    init {
        subcommands(ResolveCommand())
    }

    override fun help(context: Context) = "Resolve a claim whose outcome nobody knows"

    override fun run() = Unit
}

private class ResolveCommand : ChangeCommand("resolve", "Say whether a call ran; look it up at the service first") {
    private val organisation by argument()
    private val key by argument(help = "the call's idempotency key")
    private val ran by option("--ran", help = "it ran: resends are told so and never run it again").flag()
    private val notRun by option("--not-run", help = "it did not run: the key is free and a resend runs").flag()

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
    words: String,
    valueName: String,
    private val order: (String) -> EngineOrder,
) : ChangeCommand(name, words) {
    private val upstream by argument()
    private val value by argument(valueName)

    override fun run() = change { OperatorCommand.OrderEngine(upstream, order(value), it) }
}
