package hawthorncrank.consensus

import hawthorncrank.protocol.ReplicaMember

/** The immutable state of one replica. Callers outside the module read only these properties. */
interface ReplicaState {
    val self: ReplicaMember

    /** Null until the replica is admitted to a group. */
    val group: String?
    val term: Long
    val role: ReplicaRole

    /** The leader of [term], or null if it is not known. */
    val leader: ReplicaMember?
    val membership: Membership
    val committedIndex: Long
    val appliedIndex: Long
    val lastIndex: Long

    /** The bytes of the log records that are not compacted, as in the log files. Long logs are compressed in memory. */
    val logBytes: Long

    /** The bytes of the last snapshot, 0 before the first. */
    val snapshotBytes: Long

    /** The time of the last message from a leader that this replica followed, or of its start if there was none. */
    val leaderHeardAt: Long

    /**
     * The time at which this replica, as leader, sent the newest broadcast that a majority has answered. Null if there
     * is none or if it is not the leader. No other replica can become leader until the minimum election timeout has
     * passed since then.
     */
    val majorityContactAt: Long?

    /** Replicas outside the group that have recently asked this member to be admitted. */
    val waitingReplicas: List<ReplicaMember>

    /** Whether a group exists and this replica is not one of its members, as far as it knows. */
    val awaitsAdmission: Boolean

    /** Whether this voter is about to stop and a replica that waits to be admitted does not have its place yet. */
    val handingOver: Boolean
}

enum class ReplicaRole { UNADMITTED, FOLLOWER, CANDIDATE, LEADER }
