package hawthorncrank.consensus

import hawthorncrank.protocol.ReplicaMember
import kotlinx.serialization.Serializable

/**
 * The members of a group, as stored in a membership record. Only voters count towards majorities. [retired] holds the
 * identities of former members, which cannot become members again and whose messages are ignored.
 */
@Serializable
data class Membership(
    val voters: List<ReplicaMember> = emptyList(),
    val learners: List<Learner> = emptyList(),
    val retired: List<String> = emptyList(),
)

/** A replica that receives the log but does not vote. [replaces] is the identity of the voter to replace, if any. */
@Serializable
data class Learner(
    val member: ReplicaMember,
    val replaces: String? = null,
)
