package hawthorncrank.consensus

import kotlinx.serialization.Serializable

/**
 * The group, term and vote, which must survive a restart. [group] is null until the replica is admitted. [knowsNoGroup] is
 * set on a disk that dates from the first start of all replicas, until its replica hears of a group. On an empty disk it
 * is not set, because what a lost disk contained is unknown.
 */
@Serializable
data class VoteState(
    val group: String? = null,
    val term: Long = 0,
    val votedFor: String? = null,
    val knowsNoGroup: Boolean = false,
)
