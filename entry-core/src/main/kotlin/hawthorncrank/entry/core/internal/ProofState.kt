package hawthorncrank.entry.core.internal

/**
 * The proof that the configuration in force is the newest. Its age counts from the moment of asking, because a newer
 * version may have been accepted at any time after that. [entries] of the fleet were linked to control then.
 */
internal data class ProofState(
    val askedAt: Long? = null,
    val provedAt: Long? = null,
    val entries: Int = 0,
)
