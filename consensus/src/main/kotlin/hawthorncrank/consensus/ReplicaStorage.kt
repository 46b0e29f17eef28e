package hawthorncrank.consensus

import com.github.michaelbull.result.Result
import hawthorncrank.common.Failure
import hawthorncrank.protocol.LogRecord

/**
 * The files of a replica. Calls come from one thread, first [open]. Appended and truncated records count only after
 * [sync]; votes and snapshots are synced when their call returns. After a failure the process must stop: the state of
 * the files is then only known again after the next [open].
 */
interface ReplicaStorage : AutoCloseable {
    /** Reads the folder, creating it with a new identity if it is empty. */
    fun open(): Result<RecoveredReplica, StorageFailure>

    /** Replaces everything from the index of the first record on. */
    fun append(records: List<LogRecord>): Result<Unit, StorageFailure>

    /** Removes every record from [fromIndex] on. */
    fun truncate(fromIndex: Long): Result<Unit, StorageFailure>

    fun persistVote(vote: VoteState): Result<Unit, StorageFailure>

    /** Saves the snapshot and deletes what it makes superfluous: all records unless [retainRecords]. */
    fun saveSnapshot(
        snapshot: ReplicaSnapshot,
        retainRecords: Boolean,
    ): Result<Unit, StorageFailure>

    fun sync(): Result<Unit, StorageFailure>

    /** Carries out one persist effect, without the final [sync]. */
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
        override val remedy = "check that the disk works, has free space and that this user owns the folder"
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
