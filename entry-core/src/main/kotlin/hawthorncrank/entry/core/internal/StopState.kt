package hawthorncrank.entry.core.internal

/** A requested stop. [emptySince] is when the last request ended; claim records may be outstanding after that. */
internal data class StopState(
    val requested: Boolean = false,
    val requestedAt: Long = 0,
    val emptySince: Long? = null,
    val terminated: Boolean = false,
)
