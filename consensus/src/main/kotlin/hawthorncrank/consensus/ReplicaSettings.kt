package hawthorncrank.consensus

/** Names and addresses of the other replicas, as the settings list them, and the bounds of the protocol. */
data class ReplicaSettings(
    val peers: List<ReplicaPeer>,
    val electionTimeoutMinimum: Long = 1_500,
    val electionTimeoutMaximum: Long = 3_000,
    val heartbeatInterval: Long = 500,
    val joinInterval: Long = 1_000,
    /** A forwarded command without an answer is given up after this many milliseconds. */
    val forwardTimeout: Long = 5_000,
    /** The fewest records between snapshots; a state larger than that many records waits for more. */
    val snapshotInterval: Long = 1_000,
    val expectedRecordBytes: Long = 225,
    /** Records kept in memory behind a snapshot, so that a slightly late follower needs no snapshot. */
    val retainedRecords: Long = 200,
    val messageRecords: Int = 256,
    val messageBytes: Int = 256 * 1_024,
    /** Append messages to one follower that may be unanswered. */
    val pipelineMessages: Int = 8,
    val waitingCommands: Int = 10_000,
    val commandBytes: Int = 512 * 1_024,
    /**
     * With a number here, the leader admits replicas that no member is named after: up to so many voters, and beyond that
     * in the place of a voter that has been silent for [lostMilliseconds]. Without one, members are named by operators.
     */
    val targetVoters: Int? = null,
    /** Long enough for a restart after a crash, so that a voter on its way back keeps its place. */
    val lostMilliseconds: Long = 3_000,
)

data class ReplicaPeer(
    val name: String,
    val address: String,
)
