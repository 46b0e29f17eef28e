/*
 * The leader's side: replication with a bounded pipeline, commit by majorities, and rounds. A round is one broadcast; a
 * majority of answers to it proves that this replica still led when the round was sent, which confirms reads and renews
 * the contact on which the leader's right to lead rests.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.ReplicaMessage
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

internal fun ReplicaStep.leadOnTick() {
    val leader = leading ?: return
    if (now - leader.contactAt > settings.electionTimeoutMinimum) {
        record(ConsensusEvent.MAJORITY_LOST, "term" to state.term)
        becomeFollower(null)
        return
    }
    val dutiesAreDue = now - leader.dutiesAt >= settings.heartbeatInterval
    if (dutiesAreDue) leader.progress.keys.forEach(::retryWhenSilent)
    if (now - leader.heartbeatAt >= settings.heartbeatInterval) startRound()
    if (!dutiesAreDue) return
    promoteLearner()
    updateLeading { it.copy(committedAtHeartbeat = state.committedIndex, dutiesAt = now) }
}

/** Starts again from the last confirmed record when messages or their answers were lost. */
private fun ReplicaStep.retryWhenSilent(identity: String) =
    updateProgress(identity) {
        val silent = now - maxOf(it.answeredAt, it.sentAt) >= settings.heartbeatInterval * SILENT_HEARTBEATS
        if (it.inFlight.isEmpty() || !silent) return@updateProgress it
        it.copy(next = it.match + 1, probing = true, inFlight = it.inFlight.clear())
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

/** Sends what the pipeline has room for; as a [heartbeat], at least one message. */
internal fun ReplicaStep.replicate(
    identity: String,
    heartbeat: Boolean,
) {
    var sent = false
    while (true) {
        val progress = leading?.progress?.get(identity) ?: return
        if (progress.transfer != null || state.log.term(progress.next - 1) == null) {
            if (heartbeat || progress.transfer == null) sendSnapshotChunk(progress)
            return
        }
        val room = if (progress.probing) 1 else settings.pipelineMessages
        val records = if (progress.inFlight.size < room) nextRecords(progress.next) else emptyList()
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
    val previous = progress.next - 1
    val round = leading?.round ?: return
    val term = state.log.term(previous) ?: return
    send(progress.member, ReplicaMessage.Append(previous, term, records, state.committedIndex, round))
    if (records.isEmpty()) return
    val last = records.last().index
    updateProgress(progress.member.identity) {
        val next = if (it.probing) it.next else last + 1
        it.copy(next = next, inFlight = it.inFlight.add(last), sentAt = now)
    }
}

private fun ReplicaStep.nextRecords(first: Long): List<LogRecord> {
    var bytes = 0
    val last = minOf(state.lastIndex, first + settings.messageRecords - 1)
    return (first..last)
        .asSequence()
        .map(state.log::record)
        .takeWhile {
            bytes += it.payload.size
            bytes <= settings.messageBytes || it.index == first
        }.toList()
}

internal fun ReplicaStep.receiveAppendAnswer(
    envelope: ReplicaEnvelope,
    answer: ReplicaMessage.AppendAnswer,
) {
    val identity = envelope.sender.identity
    if (!noteAnswer(envelope, answer.round) || answer.matchIndex > state.lastIndex) return
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
    val newMatch = maxOf(match, index)
    return copy(
        match = newMatch,
        next = maxOf(next, newMatch + 1),
        probing = false,
        inFlight = inFlight.filter { it > newMatch }.toPersistentList(),
        transfer = transfer?.takeIf { it.lastIndex > newMatch },
    )
}

/** A hint that changes nothing is a late or repeated answer and is not answered with another message. */
private fun Progress.rejected(hint: Long): Progress {
    val newNext = maxOf(match, hint) + 1
    if (newNext >= next) return this
    return copy(next = newNext, probing = true, inFlight = inFlight.clear())
}

/** Returns whether the answer belongs to this leader's term. */
internal fun ReplicaStep.noteAnswer(
    envelope: ReplicaEnvelope,
    round: Long,
): Boolean {
    val leader = leading ?: return false
    if (envelope.term != state.term || round > leader.round) return false
    if (envelope.sender.identity !in leader.progress) return false
    updateProgress(envelope.sender.identity) {
        it.copy(answeredAt = now, heard = true, confirmedRound = maxOf(it.confirmedRound, round))
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
        val contactAt = leader.roundTimes[confirmed] ?: leader.contactAt
        updateLeading { it.copy(confirmedRound = confirmed, contactAt = contactAt, roundTimes = times) }
    }
    releaseReads()
}

internal fun ReplicaStep.advanceCommit() {
    val leader = leading ?: return
    val index =
        state.quorumValue { identity ->
            if (identity == state.self.identity) ownMatch() else leader.progress[identity]?.match ?: 0
        }
    if (index <= state.committedIndex) return
    if (safeguards.ownTermCommits && state.log.term(index) != state.term) return
    commit(index)
    if (state.committedIndex >= leader.firstIndex && leading != null) announce(leader)
}

private fun ReplicaStep.ownMatch(): Long = if (safeguards.awaitSync) state.syncedIndex else state.lastIndex

private fun ReplicaStep.announce(leader: Leading) {
    if (leader.announced) return
    updateLeading { it.copy(announced = true) }
    emit(ReplicaEffect.BecameLeader(state.term))
}

internal fun ReplicaStep.updateProgress(
    identity: String,
    change: (Progress) -> Progress,
) = updateLeading { leader ->
    val progress = leader.progress[identity] ?: return@updateLeading leader
    leader.copy(progress = leader.progress.put(identity, change(progress)))
}

/** Everyone who receives the log: the members and, while a change is uncommitted, those before it. */
internal fun ReplicaStep.otherMembers(): List<ReplicaMember> =
    (state.requiredMemberships + state.membership)
        .flatMap { membership -> membership.voters + membership.learners.map { it.member } }
        .distinctBy { it.identity }
        .filter { it.identity != state.self.identity }

private const val SILENT_HEARTBEATS = 2
