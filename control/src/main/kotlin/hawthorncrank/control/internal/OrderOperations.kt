package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.LOAD_TOKEN_THOUSANDTHS
import hawthorncrank.control.OrderRecord
import hawthorncrank.control.OrderStatus
import hawthorncrank.control.WeightTokens
import hawthorncrank.protocol.EngineOrder
import hawthorncrank.protocol.UpstreamKind

/** Accepts an order for an engine, one at a time. The leader issues it later. */
internal fun ControlState.orderEngine(
    operation: ControlOperation.OrderEngine,
    context: CommandContext,
): Answered {
    val name = operation.upstream
    if (configuration.upstreams.none { it.name == name && it.kind == UpstreamKind.ENGINE }) {
        return refused("there is no engine \"$name\"", "look at: hawthorncrank configuration show")
    }
    if (orders[name]?.isPending == true) {
        return refused("engine $name has an order that has not ended", "wait for it; see: hawthorncrank status")
    }
    val record = OrderRecord(operation.order, context.command.by, requestedAt = clock)
    val what = listOf("engine $name ordered to ${operation.order.words()}")
    return copy(orders = orders.remove(name).put(name, record).withoutOldestAbove(ORDER_LIMIT))
        .withHistoryEntry(context, what, "")
        .accepted(what)
}

/** A model load needs one token of the weight store; issuing it again under a new leader takes no second token. */
internal fun ControlState.issueOrder(
    operation: ControlOperation.IssueOrder,
    context: CommandContext,
): ControlState {
    val record = orders[operation.upstream]?.takeIf { it.isPending } ?: return this
    val needsToken = record.order is EngineOrder.LoadModel && !record.holdsToken
    val tokens = availableTokens()
    if (needsToken && tokens < LOAD_TOKEN_THOUSANDTHS) return this
    val issued =
        record.copy(
            status = OrderStatus.ISSUED,
            fencing = context.position,
            holdsToken = record.holdsToken || needsToken,
        )
    val next = copy(orders = orders.put(operation.upstream, issued))
    return if (needsToken) next.copy(weightTokens = WeightTokens(tokens - LOAD_TOKEN_THOUSANDTHS, clock)) else next
}

internal fun ControlState.endOrder(
    operation: ControlOperation.EndOrder,
    context: CommandContext,
): ControlState {
    val record = orders[operation.upstream]?.takeIf { it.isPending && it.fencing == operation.fencing } ?: return this
    val status = if (operation.succeeded) OrderStatus.DONE else OrderStatus.FAILED
    val what = "order to engine ${operation.upstream} ${status.name.lowercase()}: ${operation.detail}"
    return copy(orders = orders.put(operation.upstream, record.copy(status = status, detail = operation.detail)))
        .withHistoryEntry(context, listOf(what), "")
}

/** Tokens that the weight store has now, in thousandths of a load. */
internal fun ControlState.availableTokens(): Long {
    val earned = (clock - weightTokens.updatedAt) * configuration.weightStore.loadsPerMinute / SECONDS_PER_MINUTE
    return (weightTokens.thousandths + earned).coerceAtMost(LOAD_TOKEN_THOUSANDTHS)
}

internal val OrderRecord.isPending: Boolean
    get() = status == OrderStatus.WAITING || status == OrderStatus.ISSUED

internal fun EngineOrder.words(): String =
    when (this) {
        is EngineOrder.LoadModel -> "load $model"
        is EngineOrder.UnloadModel -> "unload $model"
        is EngineOrder.ChangeRole -> "take the role $role"
    }

private const val SECONDS_PER_MINUTE = 60

// Twice the planned number of engines.
private const val ORDER_LIMIT = 1_200
