package hawthorncrank.control

import hawthorncrank.control.internal.CommandContext
import hawthorncrank.control.internal.applyOperation

/** Applies one committed command. [position] is where its record stands in the log. A pure function. */
fun applyCommand(
    state: ControlState,
    command: ControlCommand,
    position: FencingNumber,
): Applied = applyOperation(state, CommandContext(command, position))
