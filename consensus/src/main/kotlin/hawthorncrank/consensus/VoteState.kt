package hawthorncrank.consensus

import kotlinx.serialization.Serializable

/** The group, term and vote, which must survive a restart. [group] is null until the replica is admitted. */
@Serializable
data class VoteState(
    val group: String? = null,
    val term: Long = 0,
    val votedFor: String? = null,
)
