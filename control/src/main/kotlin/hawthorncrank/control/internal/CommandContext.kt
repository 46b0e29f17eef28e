package hawthorncrank.control.internal

import hawthorncrank.control.ControlCommand
import hawthorncrank.control.FencingNumber

/** What every operation reads besides the state. */
internal data class CommandContext(
    val command: ControlCommand,
    val position: FencingNumber,
)
