package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.DutyState

/** Every taking raises the token, so no two terms share one, even if the same machine leads both. */
internal fun ControlState.takeDuties(
    operation: ControlOperation.TakeDuties,
    context: CommandContext,
): ControlState = copy(duties = DutyState(operation.holder, duties.token + 1, context.position.term))
