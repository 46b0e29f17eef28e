package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.DutyState

/**
 * Every taking raises the token, so no two terms share one, even if the same machine leads both. A command that is committed
 * twice in a term takes the duties once, because a holder must not change its token while it has calls in flight.
 */
internal fun ControlState.takeDuties(
    operation: ControlOperation.TakeDuties,
    context: CommandContext,
): ControlState {
    val term = context.position.term
    if (duties.holder == operation.holder && duties.term == term) return this
    return copy(duties = DutyState(operation.holder, duties.token + 1, term))
}
