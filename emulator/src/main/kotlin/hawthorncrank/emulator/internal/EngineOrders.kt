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
) {
    val fencingNumber: Pair<Long, Long> get() = Pair(fencingTerm, fencingIndex)
}

@Serializable
internal data class EngineState(
    val version: Long,
    val models: List<String>,
    val role: String,
)

/** Applies orders to an engine's models and role. Not thread-safe: only the engine's thread may use it. */
internal class EngineOrders(
    models: List<String>,
    private val checksFencing: Boolean,
) {
    var state = EngineState(version = 1, models = models, role = "serving")
        private set
    private var newestFencingNumber = Pair(0L, 0L)

    /**
     * Returns the reason to refuse the order, or null. Called when the order arrives and again when it is applied; the
     * second check passes no [wallTime] and so skips the expiry.
     */
    fun refusal(
        order: EngineOrder,
        wallTime: Long?,
    ): OrderResult.Refused? {
        val fencingNumber = order.fencingNumber
        val newest = newestFencingNumber
        return when {
            checksFencing && compareValuesBy(fencingNumber, newest, { it.first }, { it.second }) < 0 ->
                OrderResult.Refused("the fencing number $fencingNumber is older than $newest")
            wallTime != null && order.expiresAt != null && order.expiresAt < wallTime ->
                OrderResult.Refused("the order has expired")
            order.expectedVersion != null && order.expectedVersion != state.version ->
                OrderResult.Refused("the order expects version ${order.expectedVersion}, not ${state.version}")
            else -> null
        }
    }

    fun apply(order: EngineOrder): OrderResult = refusal(order, wallTime = null) ?: execute(order, order.fencingNumber)

    private fun execute(
        order: EngineOrder,
        fencingNumber: Pair<Long, Long>,
    ): OrderResult {
        val next =
            when (order.order) {
                "load_model" -> state.copy(models = (state.models + order.value).distinct())
                "unload_model" -> state.copy(models = state.models - order.value)
                "change_role" -> state.copy(role = order.value)
                else -> return OrderResult.Unknown(order.order)
            }
        newestFencingNumber = fencingNumber
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
