/*
 * The leader's part of the protocol: replication with a bounded number of unanswered messages, commits, and rounds. A
 * round is one broadcast to all members. Answers from a majority show that this replica was still the leader when it
 * sent the round. This confirms reads and extends the leader's lease.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.ReplicaMessage
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

internal fun ReplicaStep.tickAsLeader() {
    val leader = leading ?: return
    if (now - leader.majorityContactAt > settings.electionTimeoutMinimum) {
        logEvent(ConsensusEvent.MAJORITY_LOST, "term" to state.term)
        becomeFollower(null)
        return
    }
    val periodicWorkIsDue = now - leader.periodicWorkAt >= settings.heartbeatInterval
    if (periodicWorkIsDue) leader.progress.keys.forEach(::resendWhenUnanswered)
    if (now - leader.heartbeatAt >= settings.heartbeatInterval) startRound()
    if (!periodicWorkIsDue) return
    finishReplacement()
    releaseLearner()
    promoteLearner()
    admitWaitingReplica()
    updateLeading { it.copy(committedAtHeartbeat = state.committedIndex, periodicWorkAt = now) }
}

/** If messages or their answers appear lost, restarts replication after the last acknowledged record. */
private fun ReplicaStep.resendWhenUnanswered(identity: String) =
    updateProgress(identity) {
        val unanswered = now - maxOf(it.answeredAt, it.sentAt) >= settings.heartbeatInterval * HEARTBEATS_BEFORE_RESEND
        if (it.inFlight.isEmpty() || !unanswered) return@updateProgress it
        it.copy(nextIndex = it.matchIndex + 1, probing = true, inFlight = it.inFlight.clear())
    }

internal fun ReplicaStep.startRound() {
    updateLeading {
        val round = it.round + 1
        it.copy(round = round, roundTimes = it.roundTimes.put(round, now), heartbeatAt = now)
    }
    leading?.progress?.keys?.forEach { replicate(it, heartbeat = true) }
    confirmRounds()
    advanceCommit()
}

/** Sends as many records as the limit on unanswered messages allows. As a [heartbeat], sends at least one message. */
internal fun ReplicaStep.replicate(
    identity: String,
    heartbeat: Boolean,
) {
    var sent = false
    while (true) {
        val progress = leading?.progress?.get(identity) ?: return
        if (progress.transfer != null || state.log.term(progress.nextIndex - 1) == null) {
            if (heartbeat || progress.transfer == null) sendSnapshotChunk(progress)
            return
        }
        val maximumUnanswered = if (progress.probing) 1 else settings.maximumMessagesInFlight
        val records = if (progress.inFlight.size < maximumUnanswered) nextRecords(progress.nextIndex) else emptyList()
        if (records.isEmpty() && (sent || !heartbeat)) return
        sendAppend(progress, records)
        if (records.isEmpty()) return
        sent = true
    }
}

private fun ReplicaStep.sendAppend(
    progress: Progress,
    records: List<LogRecord>,
) {
    val previous = progress.nextIndex - 1
    val round = leading?.round ?: return
    val term = state.log.term(previous) ?: return
    send(progress.member, ReplicaMessage.Append(previous, term, records, state.committedIndex, round))
    if (records.isEmpty()) return
    val last = records.last().index
    updateProgress(progress.member.identity) {
        val nextIndex = if (it.probing) it.nextIndex else last + 1
        it.copy(nextIndex = nextIndex, inFlight = it.inFlight.add(last), sentAt = now)
    }
}

private fun ReplicaStep.nextRecords(first: Long): List<LogRecord> {
    var bytes = 0
    val last = minOf(state.lastIndex, first + settings.maximumRecordsPerMessage - 1)
    return (first..last)
        .asSequence()
        .map(state.log::record)
        .takeWhile {
            bytes += it.payload.size
            bytes <= settings.maximumBytesPerMessage || it.index == first
        }.toList()
}

internal fun ReplicaStep.receiveAppendAnswer(
    envelope: ReplicaEnvelope,
    answer: ReplicaMessage.AppendAnswer,
) {
    val identity = envelope.sender.identity
    if (!recordAnswer(envelope, answer.round) || answer.matchIndex > state.lastIndex) return
    if (answer.accepted) {
        updateProgress(identity) { it.accepted(answer.matchIndex) }
    } else {
        updateProgress(identity) { it.rejected(answer.matchIndex) }
    }
    confirmRounds()
    advanceCommit()
    replicate(identity, heartbeat = false)
}

private fun Progress.accepted(index: Long): Progress {
    val newMatch = maxOf(matchIndex, index)
    return copy(
        matchIndex = newMatch,
        nextIndex = maxOf(nextIndex, newMatch + 1),
        probing = false,
        inFlight = inFlight.filter { it > newMatch }.toPersistentList(),
        transfer = transfer?.takeIf { it.lastIndex > newMatch },
    )
}

/** A rejection that does not lower the next index is late or duplicated. It changes nothing and triggers no message. */
private fun Progress.rejected(hint: Long): Progress {
    val newNext = maxOf(matchIndex, hint) + 1
    if (newNext >= nextIndex) return this
    return copy(nextIndex = newNext, probing = true, inFlight = inFlight.clear())
}

/** Updates the progress of the sender. Returns whether the answer belongs to the leader's current term. */
internal fun ReplicaStep.recordAnswer(
    envelope: ReplicaEnvelope,
    round: Long,
): Boolean {
    val leader = leading ?: return false
    if (envelope.term != state.term || round > leader.round) return false
    if (envelope.sender.identity !in leader.progress) return false
    updateProgress(envelope.sender.identity) {
        it.copy(answeredAt = now, hasAnswered = true, confirmedRound = maxOf(it.confirmedRound, round))
    }
    return true
}

internal fun ReplicaStep.confirmRounds() {
    val leader = leading ?: return
    val confirmed =
        state.quorumValue { identity ->
            if (identity == state.self.identity) leader.round else leader.progress[identity]?.confirmedRound ?: 0
        }
    if (confirmed > leader.confirmedRound) {
        val times = leader.roundTimes.filterKeys { it > confirmed }.toPersistentMap()
        val majorityContactAt = leader.roundTimes[confirmed] ?: leader.majorityContactAt
        updateLeading { it.copy(confirmedRound = confirmed, majorityContactAt = majorityContactAt, roundTimes = times) }
    }
    answerConfirmedReads()
}

internal fun ReplicaStep.advanceCommit() {
    val leader = leading ?: return
    val index =
        state.quorumValue { identity ->
            if (identity == state.self.identity) ownMatchIndex() else leader.progress[identity]?.matchIndex ?: 0
        }
    if (index <= state.committedIndex) return
    if (safeguards.ownTermCommits && state.log.term(index) != state.term) return
    commit(index)
    if (state.committedIndex >= leader.firstIndex && leading != null) reportLeadership(leader)
}

private fun ReplicaStep.ownMatchIndex(): Long = if (safeguards.awaitSync) state.syncedIndex else state.lastIndex

private fun ReplicaStep.reportLeadership(leader: Leading) {
    if (leader.leadershipReported) return
    updateLeading { it.copy(leadershipReported = true) }
    emit(ReplicaEffect.BecameLeader(state.term))
}

internal fun ReplicaStep.updateProgress(
    identity: String,
    change: (Progress) -> Progress,
) = updateLeading { leader ->
    val progress = leader.progress[identity] ?: return@updateLeading leader
    leader.copy(progress = leader.progress.put(identity, change(progress)))
}

/** All other replicas that receive the log: the members and, until a change is committed, the previous members. */
internal fun ReplicaStep.otherMembers(): List<ReplicaMember> =
    (state.requiredMemberships + state.membership)
        .flatMap { membership -> membership.voters + membership.learners.map { it.member } }
        .distinctBy { it.identity }
        .filter { it.identity != state.self.identity }

private const val HEARTBEATS_BEFORE_RESEND = 2
