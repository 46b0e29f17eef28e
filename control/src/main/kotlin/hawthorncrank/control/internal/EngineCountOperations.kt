package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.EngineCountOrder
import hawthorncrank.control.EngineCountStatus
import hawthorncrank.control.RecordedDemand
import kotlinx.collections.immutable.toPersistentMap

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

/** Demand of a replica that has long been silent belongs to entries that have moved to another. */
internal fun ControlState.recordDemand(operation: ControlOperation.RecordDemand): ControlState {
    val recorded = RecordedDemand(clock, operation.entries, operation.classes)
    val recent = engineCounts.demand.filterValues { clock - it.clock <= DEMAND_KEPT_MILLISECONDS }
    val demand = recent.toPersistentMap().put(operation.replica, recorded)
    return copy(engineCounts = engineCounts.copy(demand = demand))
}

private const val DEMAND_KEPT_MILLISECONDS = 60_000L
