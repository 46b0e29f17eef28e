package hawthorncrank.control.internal

import hawthorncrank.control.ControlCommand
import hawthorncrank.control.FencingNumber

/** The command that is being applied and the position of its record in the log. */
internal data class CommandContext(
    val command: ControlCommand,
    val position: FencingNumber,
)
