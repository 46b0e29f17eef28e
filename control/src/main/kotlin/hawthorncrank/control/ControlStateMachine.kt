package hawthorncrank.control

import hawthorncrank.control.internal.CommandContext
import hawthorncrank.control.internal.applyOperation

/** Applies one committed command as a pure function. [position] is that of its record in the log. */
fun applyCommand(
    state: ControlState,
    command: ControlCommand,
    position: FencingNumber,
): Applied = applyOperation(state, CommandContext(command, position))
