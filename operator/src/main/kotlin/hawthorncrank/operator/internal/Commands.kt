package hawthorncrank.operator.internal

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.parameters.options.option
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import java.util.UUID

/** Opens the session when a command needs one, so that `hash-key` works without settings. */
internal fun interface SessionSource {
    fun open(): ControlSession
}

/** A command that talks to the control group. */
internal abstract class GroupCommand(
    name: String,
    private val helpText: String,
) : CliktCommand(name) {
    private val source by requireObject<SessionSource>()

    protected val session: ControlSession by lazy { source.open() }

    override fun help(context: Context) = helpText

    protected fun show(answer: OperatorAnswer) {
        val shown = printed(answer)
        if (!shown.succeeded) throw CliktError(shown.lines.joinToString("\n"))
        shown.lines.forEach { echo(it) }
    }
}

/** A command that changes state. A resend with the same identifier does not apply the change twice. */
internal abstract class ChangeCommand(
    name: String,
    helpText: String,
) : GroupCommand(name, helpText) {
    private val identifier by option(help = "identifier of an earlier attempt, to get its answer")

    protected fun change(command: (String) -> OperatorCommand) {
        val chosen = identifier ?: UUID.randomUUID().toString()
        val answer = session.ask(command(chosen))
        if (answer is OperatorAnswer.Uncertain) echo("identifier: $chosen", err = true)
        show(answer)
    }
}
