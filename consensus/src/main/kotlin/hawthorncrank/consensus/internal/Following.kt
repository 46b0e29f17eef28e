/*
 * Handles messages from the leader. Records are acknowledged only after they are synced. The answer to a rejected
 * append contains the index up to which the logs may match, so that repairing the log takes one exchange per
 * conflicting term instead of one per record.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMessage

/** Follows the sender unless its term is outdated. Returns whether the sender is the leader of the current term. */
internal fun ReplicaStep.acceptLeader(envelope: ReplicaEnvelope): Boolean {
    if (envelope.term < state.term || leading != null && envelope.term == state.term) return false
    if (envelope.term > state.term) adoptTerm(envelope.term)
    becomeFollower(envelope.sender)
    state = state.copy(leaderHeardAt = now, lastLeader = envelope.sender.identity, awaitsAdmission = false)
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
    if (!matchesPreviousRecord(append)) {
        sendWhenSynced(envelope.sender, ReplicaMessage.AppendAnswer(false, conflictHint(append), append.round))
        return
    }
    val newRecords =
        append.records.dropWhile { it.index <= state.committedIndex || state.log.term(it.index) == it.term }
    if (newRecords.isNotEmpty()) persistRecords(newRecords)
    val match = append.previousIndex + append.records.size
    commit(minOf(append.committedIndex, match))
    sendWhenSynced(envelope.sender, ReplicaMessage.AppendAnswer(true, match, append.round))
}

private fun ReplicaStep.matchesPreviousRecord(append: ReplicaMessage.Append): Boolean =
    append.previousIndex <= state.committedIndex || state.log.term(append.previousIndex) == append.previousTerm

private fun ReplicaStep.conflictHint(append: ReplicaMessage.Append): Long {
    val conflicting = state.log.term(append.previousIndex) ?: return state.lastIndex
    var index = append.previousIndex - 1
    while (index > state.committedIndex && state.log.term(index) == conflicting) index--
    return maxOf(index, state.committedIndex)
}

/** Commits and applies every record up to [index] and answers the tickets that wait for these records. */
internal fun ReplicaStep.commit(index: Long) {
    if (index <= state.committedIndex) return
    val indexes = state.committedIndex + 1..index
    val records = state.log.range(indexes)
    val bytes = records.held.sumOf { it.bytes }
    state = state.copy(committedIndex = index, bytesSinceCapture = state.bytesSinceCapture + bytes)
    emit(ReplicaEffect.ApplyRecords(records))
    captureSnapshotWhenDue()
    answerCommitted(indexes)
    answerAppliedTickets()
    handleCommittedMemberships(indexes)
}
