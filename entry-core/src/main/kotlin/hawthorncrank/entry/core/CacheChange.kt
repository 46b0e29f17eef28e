package hawthorncrank.entry.core

/** A batch of prefix-cache events of one engine. A jump in [sequence] means that events were lost. */
data class CacheChange(
    val sequence: Long,
    val stored: List<Long>,
    val evicted: List<Long>,
)
