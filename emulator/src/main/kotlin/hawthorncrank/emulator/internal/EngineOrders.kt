package hawthorncrank.emulator.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The body of POST /admin/orders. [order] is one of load_model, unload_model and change_role, and [value] its model or
 * role. Fencing numbers compare by [fencingTerm], then [fencingIndex]. [expiresAt] is in milliseconds since the epoch.
 */
@Serializable
internal data class EngineOrder(
    val order: String,
    val value: String,
    @SerialName("fencing_term")
    val fencingTerm: Long = 0,
    @SerialName("fencing_index")
    val fencingIndex: Long = 0,
    @SerialName("expected_version")
    val expectedVersion: Long? = null,
    @SerialName("expires_at")
    val expiresAt: Long? = null,
)

@Serializable
internal data class EngineState(
    val version: Long,
    val models: List<String>,
    val role: String,
)

/** What orders change: an engine's models and role. Used from the engine's thread only. */
internal class EngineOrders(
    models: List<String>,
    private val checksFencing: Boolean,
) {
    var state = EngineState(version = 1, models = models, role = "serving")
        private set
    private var newestFence = Pair(0L, 0L)

    fun apply(
        order: EngineOrder,
        wallTime: Long,
    ): OrderResult {
        val fence = Pair(order.fencingTerm, order.fencingIndex)
        val newest = newestFence
        return when {
            checksFencing && compareValuesBy(fence, newest, { it.first }, { it.second }) < 0 ->
                OrderResult.Refused("the fencing number $fence is older than $newest")
            order.expiresAt != null && order.expiresAt < wallTime -> OrderResult.Refused("the order has expired")
            order.expectedVersion != null && order.expectedVersion != state.version ->
                OrderResult.Refused("the order expects version ${order.expectedVersion}, not ${state.version}")
            else -> carryOut(order, fence)
        }
    }

    private fun carryOut(
        order: EngineOrder,
        fence: Pair<Long, Long>,
    ): OrderResult {
        val next =
            when (order.order) {
                "load_model" -> state.copy(models = (state.models + order.value).distinct())
                "unload_model" -> state.copy(models = state.models - order.value)
                "change_role" -> state.copy(role = order.value)
                else -> return OrderResult.Unknown(order.order)
            }
        newestFence = fence
        if (next != state) state = next.copy(version = state.version + 1)
        return OrderResult.Applied(state)
    }
}

internal sealed interface OrderResult {
    data class Applied(
        val state: EngineState,
    ) : OrderResult

    data class Refused(
        val problem: String,
    ) : OrderResult

    data class Unknown(
        val order: String,
    ) : OrderResult
}
