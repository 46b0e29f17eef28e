package hawthorncrank.consensus

import com.github.michaelbull.result.Result
import hawthorncrank.common.Failure
import hawthorncrank.protocol.LogRecord

/**
 * The files of a replica. All calls come from one thread, [open] first. Appended and truncated records are durable only
 * after [sync]; votes and snapshots are durable when the call returns. After a failure the process must stop, because
 * the content of the files is unknown until the next [open].
 */
interface ReplicaStorage : AutoCloseable {
    /** Reads the folder. A missing or empty folder is initialized with a new identity. */
    fun open(): Result<RecoveredReplica, StorageFailure>

    /** Appends [records], replacing all records from the index of the first one onwards. */
    fun append(records: List<LogRecord>): Result<Unit, StorageFailure>

    /** Removes every record from [fromIndex] onwards. */
    fun truncate(fromIndex: Long): Result<Unit, StorageFailure>

    fun persistVote(vote: VoteState): Result<Unit, StorageFailure>

    /** Saves the snapshot and deletes the files that it supersedes; without [retainRecords], deletes the whole log. */
    fun saveSnapshot(
        snapshot: ReplicaSnapshot,
        retainRecords: Boolean,
    ): Result<Unit, StorageFailure>

    fun sync(): Result<Unit, StorageFailure>

    /** Executes one persist effect. The caller still has to [sync]. */
    fun persist(effect: ReplicaEffect.Persist): Result<Unit, StorageFailure> =
        when (effect) {
            is ReplicaEffect.PersistRecords -> append(effect.records)
            is ReplicaEffect.PersistVote -> persistVote(effect.vote)
            is ReplicaEffect.PersistSnapshot -> saveSnapshot(effect.snapshot, effect.retainRecords)
        }
}

sealed interface StorageFailure : Failure {
    data class Unusable(
        val path: String,
        val detail: String,
    ) : StorageFailure {
        override val problem = "$path: cannot be read or written ($detail)"
        override val remedy = "check that the disk works and has free space, and that this user owns the folder"
    }

    data class Corrupt(
        val path: String,
        val detail: String,
    ) : StorageFailure {
        override val problem = "$path: corrupt ($detail)"
        override val remedy = "remove the data folder and start again; the replica rejoins with a new identity"
    }

    data class InUse(
        val path: String,
    ) : StorageFailure {
        override val problem = "$path: used by another process"
        override val remedy = "stop the other process or choose another folder"
    }
}
