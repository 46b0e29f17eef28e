package hawthorncrank.capacity

/** Sets the number of engines of [pool]. */
data class EngineOrder(
    val service: String,
    val pool: EnginePool,
    val count: Int,
    val reason: OrderReason,
)

/** Why engines are ordered. */
enum class OrderReason {
    /** The engines do not suffice for the demand, a burst of one class or the loss of one zone's reclaimable engines. */
    DEMAND,

    /** Cheaper engines are to take the place of others. */
    CHEAPER,

    /** Engines were taken away or failed, so the order is lowered to what is left before it is raised again. */
    LOST,

    /** The remaining engines have sufficed for some time. */
    SURPLUS,
}
