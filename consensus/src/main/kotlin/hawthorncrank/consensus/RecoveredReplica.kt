package hawthorncrank.consensus

import hawthorncrank.protocol.LogRecord

/** The content of a data folder at startup. [records] follow the snapshot, or start at index 1, without a gap. */
data class RecoveredReplica(
    val identity: String,
    val vote: VoteState = VoteState(),
    val snapshot: ReplicaSnapshot? = null,
    val records: List<LogRecord> = emptyList(),
    /** The size of the unsynced data that was removed from the end of the log. */
    val truncatedBytes: Long = 0,
)
