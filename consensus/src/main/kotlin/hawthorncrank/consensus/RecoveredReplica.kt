package hawthorncrank.consensus

import hawthorncrank.protocol.LogRecord

/** What a data folder held when it was opened. [records] follow the snapshot, or start at 1, without a gap. */
data class RecoveredReplica(
    val identity: String,
    val vote: VoteState = VoteState(),
    val snapshot: ReplicaSnapshot? = null,
    val records: List<LogRecord> = emptyList(),
    /** Bytes of an unsynced record that were cut off the end of the log. */
    val truncatedBytes: Long = 0,
)
