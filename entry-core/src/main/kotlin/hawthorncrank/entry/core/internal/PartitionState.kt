package hawthorncrank.entry.core.internal

/**
 * Whether this machine may have lost its paths to the upstreams. One was last [heardAt]; [suspected] is set from a
 * suspected partition until one is heard from again.
 */
internal data class PartitionState(
    val heardAt: Long? = null,
    val suspected: Boolean = false,
)
