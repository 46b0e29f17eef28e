package hawthorncrank.routing.internal

/** The median token interval of a target's engines in milliseconds, null with too few engines, computed at [at]. */
internal class PeerMedian(
    val value: Double?,
    val at: Long,
)
