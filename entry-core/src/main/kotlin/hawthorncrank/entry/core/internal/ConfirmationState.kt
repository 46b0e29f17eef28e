package hawthorncrank.entry.core.internal

/**
 * The last confirmation that the configuration in force is the newest. Its age counts from the time of the question,
 * because a newer version may have been accepted at any time after that. [entries] is the number of the fleet's entries
 * that were linked to control. These times include [suspended], the milliseconds for which the machine may have been
 * suspended. [group] is the group of control replicas that confirmed the configuration in force first.
 */
internal data class ConfirmationState(
    val group: String? = null,
    val askedAt: Long? = null,
    val confirmedAt: Long? = null,
    val entries: Int = 0,
    val suspended: Long = 0,
)
