/*
 * A replica's side of the leader's messages. Nothing is acknowledged before it is synced. A rejected append hints where
 * the logs may still agree, so that repair takes one round per conflicting term rather than per record.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMessage

/** Follows the sender if its term is not over. Returns whether it leads the current term. */
internal fun ReplicaStep.acceptLeader(envelope: ReplicaEnvelope): Boolean {
    if (envelope.term < state.term || leading != null && envelope.term == state.term) return false
    if (envelope.term > state.term) adoptTerm(envelope.term)
    becomeFollower(envelope.sender)
    state = state.copy(leaderHeardAt = now)
    resetElectionDeadline()
    return true
}

internal fun ReplicaStep.receiveAppend(
    envelope: ReplicaEnvelope,
    append: ReplicaMessage.Append,
) {
    if (!acceptLeader(envelope)) {
        sendWhenSynced(envelope.sender, ReplicaMessage.AppendAnswer(false, state.committedIndex, append.round))
        return
    }
    if (!agreesBefore(append)) {
        sendWhenSynced(envelope.sender, ReplicaMessage.AppendAnswer(false, hintBefore(append), append.round))
        return
    }
    val fresh = append.records.dropWhile { it.index <= state.committedIndex || state.log.term(it.index) == it.term }
    if (fresh.isNotEmpty()) persistRecords(fresh)
    val match = append.previousIndex + append.records.size
    commit(minOf(append.committedIndex, match))
    sendWhenSynced(envelope.sender, ReplicaMessage.AppendAnswer(true, match, append.round))
}

private fun ReplicaStep.agreesBefore(append: ReplicaMessage.Append): Boolean =
    append.previousIndex <= state.committedIndex || state.log.term(append.previousIndex) == append.previousTerm

private fun ReplicaStep.hintBefore(append: ReplicaMessage.Append): Long {
    val conflicting = state.log.term(append.previousIndex) ?: return state.lastIndex
    var index = append.previousIndex - 1
    while (index > state.committedIndex && state.log.term(index) == conflicting) index--
    return maxOf(index, state.committedIndex)
}

/** Hands every record up to [index] to the application and answers those who wait for it. */
internal fun ReplicaStep.commit(index: Long) {
    if (index <= state.committedIndex) return
    val records: List<LogRecord> = state.log.range(state.committedIndex + 1, index)
    state = state.copy(committedIndex = index)
    emit(ReplicaEffect.ApplyRecords(records))
    captureSnapshotWhenDue()
    answerCommitted(records)
    answerWaiting()
    noteMembershipCommits(records)
}
