/*
 * Reads the data folder at startup and repairs every state that a crash can leave. Any other inconsistency is reported
 * as corruption: the replica may have lost data that it acknowledged, so it must rejoin with a new identity.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.RecoveredReplica
import hawthorncrank.consensus.ReplicaSnapshot
import hawthorncrank.consensus.StorageFailure
import hawthorncrank.consensus.VoteState
import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path
import java.security.SecureRandom
import java.util.HexFormat
import kotlin.io.path.name

internal class FolderRecovery(
    val replica: RecoveredReplica,
    val segments: List<LogSegment>,
)

internal fun recoverFolder(folder: Path): FolderRecovery {
    filesOf(folder, "").filter { it.name.endsWith(TEMPORARY_SUFFIX) }.forEach(Files::delete)
    val identity = readIdentity(folder)
    val vote = readVote(folder)
    val snapshot = readSnapshot(folder)
    val log = readLog(folder)
    val kept = if (snapshot != null && log.conflictsWith(snapshot)) emptyList() else log.records
    if (vote.group == null && (snapshot != null || !isInterruptedFormation(kept))) {
        corrupt(folder.resolve(VOTE_FILE), "missing, although there are records")
    }
    val usable = if (vote.group == null) emptyList() else kept
    if (usable.isEmpty()) discard(log)
    val records = usable.dropWhile { it.index <= (snapshot?.lastIndex ?: 0) }
    val expected = (snapshot?.lastIndex ?: 0) + 1
    if (records.isNotEmpty() && records.first().index != expected) {
        corrupt(folder, "the log starts at record ${records.first().index} instead of $expected")
    }
    val segments = if (usable.isEmpty()) emptyList() else log.segments
    return FolderRecovery(RecoveredReplica(identity, vote, snapshot, HeldRecords(records), log.tailBytes), segments)
}

private fun readIdentity(folder: Path): String {
    val path = folder.resolve(IDENTITY_FILE)
    if (Files.exists(path)) {
        val text = Files.readString(path).trim()
        if (!IDENTITY_PATTERN.matches(text)) corrupt(path, "not an identity")
        return text
    }
    if (filesOf(folder, "").any { it.name != LOCK_FILE }) corrupt(path, "missing, although the folder is not empty")
    val identity = HexFormat.of().formatHex(ByteArray(IDENTITY_BYTES).also(SecureRandom()::nextBytes))
    replaceFile(path, ByteBuffer.wrap(identity.toByteArray()))
    return identity
}

private fun readVote(folder: Path): VoteState {
    val path = folder.resolve(VOTE_FILE)
    if (!Files.exists(path)) return VoteState()
    return decodeFile(path, VoteState.serializer()) ?: corrupt(path, "wrong checksum")
}

private fun readSnapshot(folder: Path): ReplicaSnapshot? {
    val files = filesOf(folder, SNAPSHOT_PREFIX)
    val newest = files.lastOrNull() ?: return null
    val content = decodeFile(newest, SnapshotFile.serializer()) ?: corrupt(newest, "wrong checksum")
    files.dropLast(1).forEach(Files::delete)
    return content.snapshot()
}

private class RecoveredLog(
    val segments: List<LogSegment>,
    val records: List<HeldRecord>,
    val tailBytes: Long,
) {
    /** True after a crash between saving a snapshot and deleting a log that conflicts with it or ends before it. */
    fun conflictsWith(snapshot: ReplicaSnapshot): Boolean {
        val last = records.lastOrNull() ?: return false
        val atSnapshot = records.find { it.index == snapshot.lastIndex }
        return last.index < snapshot.lastIndex || atSnapshot != null && atSnapshot.term != snapshot.lastTerm
    }
}

private fun readLog(folder: Path): RecoveredLog {
    val files = filesOf(folder, SEGMENT_PREFIX)
    val segments = mutableListOf<LogSegment>()
    val records = mutableListOf<HeldRecord>()
    var tailBytes = 0L
    val toHeldRecord = if (files.sumOf(Files::size) > UNCOMPRESSED_LOG_BYTES) HeldRecord::compressed else HeldRecord::of
    files.forEach { path ->
        val first = path.name.removePrefix(SEGMENT_PREFIX).toLongOrNull() ?: corrupt(path, "unknown name")
        if (records.isNotEmpty() && first != records.last().index + 1) corrupt(path, "does not follow the last segment")
        val segment = openSegment(folder, first)
        val content = segment.load()
        if (content.tailBytes > 0) {
            if (path != files.last()) corrupt(path, "wrong checksum before the last segment")
            if (content.tailHasRecord) corrupt(path, "wrong checksum before a valid record")
            segment.truncate(segment.lastIndex + 1)
            tailBytes = content.tailBytes
        }
        segments += segment
        records += content.records.map(toHeldRecord)
    }
    return RecoveredLog(segments, records, tailBytes)
}

/** The group is persisted after its first record, so a crash in between leaves that record without a group. */
private fun isInterruptedFormation(records: List<HeldRecord>): Boolean =
    records.size <= 1 && records.all { it.index == 1L && it.term == 0L }

private fun discard(log: RecoveredLog) =
    log.segments.forEach {
        it.close()
        Files.delete(it.path)
    }

private fun corrupt(
    path: Path,
    detail: String,
): Nothing = throw StorageException(StorageFailure.Corrupt(path.toString(), detail))

/**
 * The records of a longer log are compressed in memory. Builds without a limit on the bytes of the log left logs as large
 * as the heap, and they can't be compacted before a majority of the group runs.
 */
private const val UNCOMPRESSED_LOG_BYTES = 16L shl 20
private const val IDENTITY_BYTES = 16
private val IDENTITY_PATTERN = Regex("[0-9a-f]{32}")
