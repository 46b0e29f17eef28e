package hawthorncrank.capacity

/** The engines of one kind in one availability zone. [reclaimable] ones may be taken away by the platform. */
data class EnginePool(
    val availabilityZone: String,
    val reclaimable: Boolean,
)
