package hawthorncrank.consensus

import hawthorncrank.protocol.ReplicaMember
import kotlinx.serialization.Serializable

/**
 * The members of a group, as one membership record states them. Only voters count towards majorities. [retired] holds
 * identities that were members and will never be again; their messages are ignored.
 */
@Serializable
data class Membership(
    val voters: List<ReplicaMember> = emptyList(),
    val learners: List<Learner> = emptyList(),
    val retired: List<String> = emptyList(),
)

/** A replica that receives the log but does not vote. [replaces] is the identity whose place it takes, if any. */
@Serializable
data class Learner(
    val member: ReplicaMember,
    val replaces: String? = null,
)
