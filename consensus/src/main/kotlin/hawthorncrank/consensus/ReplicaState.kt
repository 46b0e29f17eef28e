package hawthorncrank.consensus

import hawthorncrank.protocol.ReplicaMember

/** The immutable state of one replica. Its parts are the module's own; the owner reads what is public here. */
interface ReplicaState {
    val self: ReplicaMember

    /** Null while the replica is unadmitted. */
    val group: String?
    val term: Long
    val role: ReplicaRole

    /** The leader of [term], as far as known. */
    val leader: ReplicaMember?
    val membership: Membership
    val committedIndex: Long
    val appliedIndex: Long
    val lastIndex: Long

    /**
     * On the leader, when the newest round of messages was sent that a majority has answered; null on others. Until the
     * shortest election timeout after it, no other replica leads.
     */
    val majorityContactAt: Long?
}

enum class ReplicaRole { UNADMITTED, FOLLOWER, CANDIDATE, LEADER }
