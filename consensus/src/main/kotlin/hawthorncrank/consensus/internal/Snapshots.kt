/*
 * Snapshots limit the number and the bytes of the records in the log. A follower that needs records that the leader's
 * log no longer holds gets the snapshot in chunks, one at a time. The leader resends a chunk with each heartbeat until
 * it is answered. A transfer that has begun continues with its snapshot when the leader takes a newer one.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.ReplicaSnapshot
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMessage
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import java.io.ByteArrayOutputStream

internal fun ReplicaStep.captureSnapshotWhenDue() {
    val recordsSinceSnapshot = state.committedIndex - (state.snapshot?.lastIndex ?: 0)
    val isDue = recordsSinceSnapshot >= recordsBetweenSnapshots() || state.bytesSinceCapture >= bytesBetweenSnapshots()
    if (state.pendingCaptureIndex != null || !isDue) return
    state = state.copy(pendingCaptureIndex = state.committedIndex, bytesSinceCapture = 0)
    emit(ReplicaEffect.CaptureSnapshot(state.committedIndex))
}

/**
 * A snapshot contains the whole state, so at a fixed interval a large state would be written for few records. Waiting
 * until the log is about as large as the last snapshot keeps the total bytes written within twice those of the records.
 */
private fun ReplicaStep.recordsBetweenSnapshots(): Long =
    maxOf(settings.minimumRecordsBetweenSnapshots, state.snapshotBytes / settings.expectedRecordBytes)

private fun ReplicaStep.bytesBetweenSnapshots(): Long = maxOf(settings.logBytesBetweenSnapshots, state.snapshotBytes)

/** Whether the log must be compacted before it may grow further. */
internal fun ReplicaStep.isLogFull(): Boolean =
    state.logBytes >= maxOf(settings.maximumLogBytes, INTERVALS_IN_FULL_LOG * bytesBetweenSnapshots())

internal fun ReplicaStep.receiveCapturedSnapshot(event: ReplicaEvent.SnapshotCaptured) {
    val term = state.log.term(event.index)
    if (event.index != state.pendingCaptureIndex || term == null) return
    val membership = state.memberships.last { it.index <= event.index }.membership
    val snapshot = ReplicaSnapshot(event.index, term, membership, event.bytes)
    state = state.copy(snapshot = snapshot, pendingCaptureIndex = null)
    emit(ReplicaEffect.PersistSnapshot(nextToken(), snapshot, retainRecords = true))
    defer(DeferredAction.CompactLog(snapshot))
}

internal fun ReplicaStep.compactLog(snapshot: ReplicaSnapshot) {
    val current = state.memberships.indexOfLast { it.index <= snapshot.lastIndex }.coerceAtLeast(0)
    state =
        state.copy(
            log = state.log.compact(compactionIndex(snapshot)),
            memberships = state.memberships.drop(current).toPersistentList(),
        )
    logEvent(
        ConsensusEvent.SNAPSHOT_SAVED,
        "index" to snapshot.lastIndex,
        "bytes" to snapshot.bytes.size,
        "log_bytes" to state.log.bytes,
    )
    // Records that were committed meanwhile may have filled the log, which then grows no further by itself.
    captureSnapshotWhenDue()
}

private fun ReplicaStep.compactionIndex(snapshot: ReplicaSnapshot): Long {
    var index = snapshot.lastIndex
    var keptBytes = 0L
    while (index > state.log.baseIndex && snapshot.lastIndex - index < settings.recordsKeptBeforeSnapshot) {
        keptBytes += state.log.held(index).bytes
        if (keptBytes > settings.logBytesKeptBeforeSnapshot) break
        index--
    }
    return index
}

internal fun ReplicaStep.sendSnapshotChunk(progress: Progress) {
    val newest = state.snapshot ?: return
    val transfer = progress.transfer?.takeIf { it.offset > 0 } ?: SnapshotTransfer(newest)
    val snapshot = transfer.snapshot
    val offset = transfer.offset.toInt()
    val end = minOf(snapshot.bytes.size, offset + settings.maximumBytesPerMessage)
    updateProgress(progress.member.identity) { it.copy(transfer = transfer, inFlight = it.inFlight.clear()) }
    send(
        progress.member,
        ReplicaMessage.InstallSnapshot(
            snapshot.lastIndex,
            snapshot.lastTerm,
            encodeMembership(snapshot.membership),
            transfer.offset,
            snapshot.bytes.copyOfRange(offset, end),
            last = end == snapshot.bytes.size,
            leading?.round ?: 0,
        ),
    )
}

internal fun ReplicaStep.receiveSnapshotAnswer(
    envelope: ReplicaEnvelope,
    answer: ReplicaMessage.SnapshotAnswer,
) {
    if (!recordAnswer(envelope, answer.round)) return
    confirmRounds()
    val progress = leading?.progress?.get(envelope.sender.identity) ?: return
    val transfer = progress.transfer ?: return
    if (answer.lastIndex != transfer.lastIndex || answer.nextOffset !in 0..transfer.snapshot.bytes.size) return
    updateProgress(envelope.sender.identity) { it.copy(transfer = transfer.copy(offset = answer.nextOffset)) }
    // A lower offset may be a late answer. Only heartbeats resend chunks, so that duplicates do not multiply.
    if (answer.nextOffset > transfer.offset) {
        leading?.progress?.get(envelope.sender.identity)?.let(::sendSnapshotChunk)
    }
}

internal fun ReplicaStep.receiveSnapshotChunk(
    envelope: ReplicaEnvelope,
    chunk: ReplicaMessage.InstallSnapshot,
) {
    if (!acceptLeader(envelope) || chunk.lastIndex <= state.committedIndex) {
        val accepted = envelope.term == state.term && leading == null
        val match = if (accepted) chunk.lastIndex else state.committedIndex
        sendWhenSynced(envelope.sender, ReplicaMessage.AppendAnswer(accepted, match, chunk.round))
        return
    }
    val known = state.incoming?.takeIf { it.lastIndex == chunk.lastIndex && it.sender == envelope.sender.identity }
    val before = known ?: IncomingSnapshot(envelope.sender.identity, chunk.lastIndex)
    val incoming =
        if (chunk.offset == before.size) {
            before.copy(size = before.size + chunk.bytes.size, chunks = before.chunks.add(chunk.bytes))
        } else {
            before
        }
    state = state.copy(incoming = incoming)
    if (chunk.last && incoming !== before) {
        install(chunk, incoming)
        sendWhenSynced(envelope.sender, ReplicaMessage.AppendAnswer(true, chunk.lastIndex, chunk.round))
    } else {
        sendWhenSynced(envelope.sender, ReplicaMessage.SnapshotAnswer(chunk.lastIndex, incoming.size, chunk.round))
    }
}

private fun ReplicaStep.install(
    chunk: ReplicaMessage.InstallSnapshot,
    incoming: IncomingSnapshot,
) {
    val bytes = ByteArrayOutputStream(incoming.size.toInt()).apply { incoming.chunks.forEach(::write) }.toByteArray()
    val membership = decodeMembership(chunk.membership)
    val snapshot = ReplicaSnapshot(chunk.lastIndex, chunk.lastTerm, membership, bytes)
    val retain = state.log.term(chunk.lastIndex) == chunk.lastTerm
    val later = if (retain) state.memberships.filter { it.index > chunk.lastIndex } else emptyList()
    state =
        state.copy(
            snapshot = snapshot,
            log = if (retain) state.log.compact(chunk.lastIndex) else ReplicaLog(chunk.lastIndex, chunk.lastTerm),
            memberships = persistentListOf(IndexedMembership(chunk.lastIndex, membership)).addAll(later),
            committedIndex = chunk.lastIndex,
            syncedIndex = if (retain) state.syncedIndex else minOf(state.syncedIndex, chunk.lastIndex),
            incoming = null,
            pendingCaptureIndex = null,
            bytesSinceCapture = 0,
        )
    if (!retain) limitDeferredSyncs(0)
    emit(ReplicaEffect.PersistSnapshot(nextToken(), snapshot, retain))
    defer(DeferredAction.LogSynced(if (retain) state.lastIndex else chunk.lastIndex))
    emit(ReplicaEffect.InstallSnapshot(chunk.lastIndex, bytes))
    logEvent(ConsensusEvent.SNAPSHOT_INSTALLED, "index" to chunk.lastIndex, "bytes" to bytes.size)
    answerAppliedTickets()
}

// A snapshot is due after one interval, so the log is this long only if it cannot be captured or saved.
private const val INTERVALS_IN_FULL_LOG = 4
