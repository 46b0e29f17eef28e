package hawthorncrank.consensus

import hawthorncrank.protocol.ReplicaMember
import kotlinx.serialization.Serializable

/**
 * The members of a group, as stored in a membership record. Only voters count towards majorities. [retired] holds the
 * identities of former members. One of them becomes a member again only if no other replica of its name is one, because
 * a new identity under the same name means that its disk was lost.
 */
@Serializable
data class Membership(
    val voters: List<ReplicaMember> = emptyList(),
    val learners: List<Learner> = emptyList(),
    val retired: List<String> = emptyList(),
)

/**
 * A replica that receives the log but does not vote. [replaces] is the identity of the voter to replace, if any. While it
 * is listed among the voters too, the replaced voter has yet to be removed.
 */
@Serializable
data class Learner(
    val member: ReplicaMember,
    val replaces: String? = null,
)
