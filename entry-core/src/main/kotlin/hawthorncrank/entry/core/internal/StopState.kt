package hawthorncrank.entry.core.internal

/** A requested stop. [idleSince] is when the last request ended; claim records may still be unacknowledged then. */
internal data class StopState(
    val requested: Boolean = false,
    val requestedAt: Long = 0,
    val idleConnectionsClosed: Boolean = false,
    val idleSince: Long? = null,
    val terminated: Boolean = false,
)
