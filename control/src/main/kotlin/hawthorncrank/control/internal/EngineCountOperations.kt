package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.EngineCountOrder
import hawthorncrank.control.EngineCountStatus

internal fun ControlState.orderEngines(
    operation: ControlOperation.OrderEngines,
    context: CommandContext,
): ControlState {
    val order = EngineCountOrder(operation.count, context.position.index)
    return copy(engineCounts = engineCounts.copy(orders = engineCounts.orders.put(operation.group, order)))
}

/** An answer to an order that a later one has replaced changes nothing. */
internal fun ControlState.engineOrderAnswered(operation: ControlOperation.EngineOrderAnswered): ControlState {
    val order = engineCounts.orders[operation.group]?.takeIf { it.number == operation.number } ?: return this
    val status = if (operation.accepted) EngineCountStatus.ACCEPTED else EngineCountStatus.REFUSED
    val answered = engineCounts.orders.put(operation.group, order.copy(status = status))
    return copy(engineCounts = engineCounts.copy(orders = answered))
}
