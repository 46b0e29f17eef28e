package hawthorncrank.consensus

/**
 * How replicas that nobody has named form their group at the very first start. [seeds] are the names of the replicas that
 * may form it, in the same order everywhere. [firstStart] is false after a restart of this replica, and from then on it
 * never forms the group.
 */
data class Formation(
    val seeds: List<String>,
    val firstStart: Boolean,
)
