package hawthorncrank.consensus

/** The other replicas, and the timeouts and limits of the protocol. Timeouts and intervals are in milliseconds. */
data class ReplicaSettings(
    val peers: List<ReplicaPeer>,
    val electionTimeoutMinimum: Long = 1_500,
    val electionTimeoutMaximum: Long = 3_000,
    val heartbeatInterval: Long = 500,
    val joinInterval: Long = 1_000,
    /** A forwarded command that the leader has not answered within this time fails with an unknown outcome. */
    val forwardTimeout: Long = 5_000,
    /**
     * The minimum number of records between snapshots. While the last snapshot is larger than this many records of
     * [expectedRecordBytes], the next one is taken later.
     */
    val minimumRecordsBetweenSnapshots: Long = 1_000,
    val expectedRecordBytes: Long = 225,
    /** A snapshot is also taken after this many bytes of records, or as many as the last snapshot has if that is more. */
    val logBytesBetweenSnapshots: Long = 4 shl 20,
    /**
     * Records before a snapshot that stay in memory, so that a follower slightly behind needs no snapshot: at most this
     * many, with at most [logBytesKeptBeforeSnapshot] in total.
     */
    val recordsKeptBeforeSnapshot: Long = 200,
    val logBytesKeptBeforeSnapshot: Long = 2 shl 20,
    /**
     * The leader refuses commands while its log has more bytes than this and than four times those between snapshots.
     * Otherwise it could run out of memory while no snapshot can be saved or no majority answers.
     */
    val maximumLogBytes: Long = 32 shl 20,
    val maximumRecordsPerMessage: Int = 256,
    val maximumBytesPerMessage: Int = 256 * 1_024,
    /** The maximum number of unanswered append messages with records to one follower. */
    val maximumMessagesInFlight: Int = 8,
    val maximumPendingRequests: Int = 10_000,
    val maximumCommandBytes: Int = 512 * 1_024,
    /**
     * If set, the leader admits replicas whose names match no member until the group has this many voters. After that,
     * it admits one only to replace a voter that has not answered for [lostVoterTimeout] or is about to stop. If null,
     * only operators can add members under new names.
     */
    val targetVoters: Int? = null,
    /** A replaced voter keeps its disk and waits for the next free place, so an early replacement loses nothing. */
    val lostVoterTimeout: Long = 3_000,
    /** Set where replicas form the group without an operator. */
    val formation: Formation? = null,
)

data class ReplicaPeer(
    val name: String,
    val address: String,
)
