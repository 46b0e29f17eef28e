package hawthorncrank.consensus.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.consensus.RecoveredReplica
import hawthorncrank.consensus.ReplicaSnapshot
import hawthorncrank.consensus.ReplicaStorage
import hawthorncrank.consensus.StorageFailure
import hawthorncrank.consensus.VoteState
import hawthorncrank.protocol.LogRecord
import java.io.IOException
import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.WRITE

internal fun fileReplicaStorage(folder: Path): ReplicaStorage = FileReplicaStorage(folder)

/**
 * Stores a replica in one folder: `identity`, `vote`, `log-<first index>`, `snapshot-<index>`, and `lock`, which keeps
 * out a second process. A new log segment starts once the current one has reached [SEGMENT_BYTES]. The full segment is
 * synced first, so that only the last segment can end in unsynced records.
 */
private class FileReplicaStorage(
    private val folder: Path,
) : ReplicaStorage {
    private val segments = ArrayDeque<LogSegment>()
    private var lock: FileChannel? = null
    private var folderChanged = false

    override fun open(): Result<RecoveredReplica, StorageFailure> =
        catchingFailures {
            Files.createDirectories(folder)
            acquireLock()
            val recovery = recoverFolder(folder)
            segments += recovery.segments
            recovery.replica
        }

    private fun acquireLock() {
        val path = folder.resolve(LOCK_FILE)
        val channel = FileChannel.open(path, CREATE, WRITE)
        lock = channel
        val acquired =
            try {
                channel.tryLock()
            } catch (_: OverlappingFileLockException) {
                null
            }
        if (acquired == null) {
            channel.close()
            throw StorageException(StorageFailure.InUse(folder.toString()))
        }
    }

    override fun append(records: List<LogRecord>): Result<Unit, StorageFailure> =
        catchingFailures {
            if (records.isEmpty()) return@catchingFailures
            removeFrom(records.first().index)
            val current = segments.lastOrNull()
            val segment =
                if (current == null || current.size >= SEGMENT_BYTES) startSegment(records.first().index) else current
            check(records.first().index == segment.lastIndex + 1) { "record ${records.first().index} leaves a gap" }
            segment.append(records)
        }

    private fun startSegment(firstIndex: Long): LogSegment {
        segments.lastOrNull()?.sync()
        folderChanged = true
        return openSegment(folder, firstIndex).also(segments::addLast)
    }

    override fun truncate(fromIndex: Long): Result<Unit, StorageFailure> = catchingFailures { removeFrom(fromIndex) }

    private fun removeFrom(index: Long) {
        while (segments.isNotEmpty() && segments.last().firstIndex >= index) delete(segments.removeLast())
        val last = segments.lastOrNull() ?: return
        if (last.lastIndex >= index) last.truncate(index)
    }

    private fun delete(segment: LogSegment) {
        segment.close()
        Files.delete(segment.path)
        syncFolder(folder)
    }

    override fun persistVote(vote: VoteState): Result<Unit, StorageFailure> =
        catchingFailures { replaceFile(folder.resolve(VOTE_FILE), encodeFile(VoteState.serializer(), vote)) }

    override fun saveSnapshot(
        snapshot: ReplicaSnapshot,
        retainRecords: Boolean,
    ): Result<Unit, StorageFailure> =
        catchingFailures {
            val name = SNAPSHOT_PREFIX + snapshot.lastIndex.toString().padStart(INDEX_DIGITS, '0')
            replaceFile(folder.resolve(name), encodeFile(SnapshotFile.serializer(), SnapshotFile(snapshot)))
            filesOf(folder, SNAPSHOT_PREFIX).filter { it.fileName.toString() < name }.forEach(Files::delete)
            while (segments.isNotEmpty() && (!retainRecords || segments.first().lastIndex <= snapshot.lastIndex)) {
                delete(segments.removeFirst())
            }
        }

    override fun sync(): Result<Unit, StorageFailure> =
        catchingFailures {
            segments.lastOrNull()?.sync()
            if (folderChanged) syncFolder(folder)
            folderChanged = false
        }

    override fun close() {
        segments.forEach(LogSegment::close)
        segments.clear()
        lock?.close()
    }

    private fun <T> catchingFailures(action: () -> T): Result<T, StorageFailure> =
        try {
            Ok(action())
        } catch (failure: StorageException) {
            Err(failure.failure)
        } catch (failure: IOException) {
            Err(StorageFailure.Unusable(folder.toString(), failure.toString()))
        }
}

/** Passes a [StorageFailure] out of the code that opens and recovers the folder. */
internal class StorageException(
    val failure: StorageFailure,
) : Exception(failure.message)

internal fun filesOf(
    folder: Path,
    prefix: String,
): List<Path> =
    Files.list(folder).use { files ->
        files.filter { it.fileName.toString().startsWith(prefix) }.sorted().toList()
    }

internal const val IDENTITY_FILE = "identity"
internal const val VOTE_FILE = "vote"
internal const val LOCK_FILE = "lock"
internal const val SNAPSHOT_PREFIX = "snapshot-"

/** Holds two days of changes at the planned size, and a restart reads it in well under a second. */
private const val SEGMENT_BYTES = 1L shl 20
