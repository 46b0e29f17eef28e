package hawthorncrank.operator.internal

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import hawthorncrank.common.loadSettings
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand

/** Forms no group unless every replica reports its identity and none belongs to a group already. */
internal class FormCommand : GroupCommand("form", "Form the control group, once, of all replicas in the settings") {
    override fun run() {
        val identities =
            session.askEach(OperatorCommand.Identity).map { (address, answer) ->
                when (answer) {
                    is OperatorAnswer.ReplicaIdentity -> answer
                    is OperatorAnswer.Refused -> throw CliktError("$address: ${answer.problem}; ${answer.remedy}")
                    else -> throw CliktError("$address does not answer; start every replica before forming the group")
                }
            }
        identities.find { it.formed }?.let {
            throw CliktError("${it.member.name} already belongs to a group; a group is formed only once")
        }
        show(session.ask(OperatorCommand.FormGroup(identities.map { it.member })))
        identities.forEach { echo("  ${it.member.name} at ${it.member.address} (identity ${it.member.identity})") }
    }
}

internal class StatusCommand : GroupCommand("status", "Show the status of every replica and the entries that lag") {
    override fun run() {
        val answers = session.askEach(OperatorCommand.Status)
        answers.forEach { (address, answer) ->
            when (answer) {
                null -> echo("replica at $address does not answer")
                is OperatorAnswer.Report -> answer.lines.forEach { echo(it) }
                else -> echo("replica at $address: ${printed(answer).lines.joinToString("; ")}")
            }
        }
        if (answers.none { it.second is OperatorAnswer.Report }) throw CliktError("no control replica answers")
    }
}

internal class ConfigurationCommand : CliktCommand("configuration") {
    init {
        subcommands(ShowCommand(), CheckCommand(), ProposeCommand())
    }

    override fun help(context: Context) = "Show, check or change the configuration"

    override fun run() = Unit
}

private class ShowCommand : GroupCommand("show", "Print the current configuration and its version as TOML") {
    override fun run() = show(session.ask(OperatorCommand.ShowConfiguration))
}

private class ProposeCommand : ChangeCommand("propose", "Propose a configuration file on a base version") {
    private val file by argument().path()
    private val base by option(help = "the version that the file was made from").long().required()
    private val reason by option(help = "reason for the change, recorded in the history").required()

    override fun run() {
        val configuration =
            loadSettings(file, Configuration.serializer()).getOrElse { throw CliktError(it.message) }
        change { OperatorCommand.ProposeConfiguration(base, it, reason, configuration) }
    }
}

internal class HistoryCommand : GroupCommand("history", "Show who changed what, when and why") {
    private val newest by option(help = "number of newest records to show").int().default(20)

    override fun run() = show(session.ask(OperatorCommand.History(newest)))
}

internal class UsageCommand : GroupCommand("usage", "Show the usage reports of the newest windows") {
    private val newest by option(help = "number of newest windows to show").int().default(20)

    override fun run() = show(session.ask(OperatorCommand.Usage(newest)))
}

/** Each entry is linked to one replica only, so all replicas are asked and the first non-empty report is printed. */
internal class ExplainCommand : GroupCommand("explain", "Show the decisions on a request and their reasons") {
    private val request by argument(help = "value of the response header Hawthorncrank-Request")

    override fun run() {
        val lines =
            session
                .askEach(OperatorCommand.Explain(request))
                .mapNotNull { (_, answer) -> (answer as? OperatorAnswer.Report)?.lines }
                .firstOrNull { it.isNotEmpty() }
                ?: throw CliktError(
                    "no entry knows request $request; each entry keeps its newest 10,000 requests until it restarts",
                )
        lines.forEach { echo(it) }
    }
}
