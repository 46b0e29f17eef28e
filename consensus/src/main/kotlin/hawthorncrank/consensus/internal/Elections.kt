/*
 * Terms, pre-vote and votes. A replica first asks whether a majority would vote for it and raises its term only then,
 * so that an isolated replica disturbs nobody on its return. A replica that has heard from a leader within the shortest
 * election timeout grants neither kind of vote.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.protocol.RecordKind
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.ReplicaMessage
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap

internal fun ReplicaStep.campaignWhenDue() {
    if (now < state.electionDeadline || leading != null) return
    if (!mayLead()) return
    resetElectionDeadline()
    becomeCandidate(Campaigning(preliminary = true, granted = persistentSetOf(state.self.identity)))
    otherVoters().forEach { send(it, voteRequest(preliminary = true)) }
    countVotes()
}

/**
 * A voter whose own removal is not yet committed may be the only one whose log is complete enough to win, so it still
 * campaigns, without counting its own vote.
 */
private fun ReplicaStep.mayLead(): Boolean {
    val uncommitted = state.memberships.last().index > state.committedIndex
    return state.memberships.takeLast(if (uncommitted) 2 else 1).any { known ->
        known.membership.voters.any { it.identity == state.self.identity }
    }
}

private fun ReplicaStep.startElection() {
    persistVote(state.vote.copy(term = state.term + 1, votedFor = state.self.identity))
    resetElectionDeadline()
    becomeCandidate(Campaigning(preliminary = false))
    record(ConsensusEvent.ELECTION_STARTED, "term" to state.term)
    otherVoters().forEach { sendWhenSynced(it, voteRequest(preliminary = false)) }
    defer(DeferredAction.CountOwnVote(state.term))
}

private fun ReplicaStep.becomeCandidate(phase: Campaigning) {
    val knewLeader = state.leader != null
    state = state.copy(phase = phase)
    if (knewLeader) emit(ReplicaEffect.BecameFollower(state.term, null))
}

private fun ReplicaStep.voteRequest(preliminary: Boolean) =
    ReplicaMessage.VoteRequest(preliminary, state.lastIndex, state.log.lastTerm)

private fun ReplicaStep.otherVoters(): List<ReplicaMember> =
    state.membership.voters.filter { it.identity != state.self.identity }

internal fun ReplicaStep.countOwnVote(term: Long) {
    val phase = state.phase as? Campaigning ?: return
    if (phase.preliminary || term != state.term) return
    state = state.copy(phase = phase.copy(granted = phase.granted.add(state.self.identity)))
    countVotes()
}

private fun ReplicaStep.countVotes() {
    val phase = state.phase as? Campaigning ?: return
    val voters = state.membership.voters
    if (voters.count { it.identity in phase.granted } <= voters.size / 2) return
    if (phase.preliminary) startElection() else becomeLeader()
}

internal fun ReplicaStep.receiveVoteRequest(
    envelope: ReplicaEnvelope,
    request: ReplicaMessage.VoteRequest,
) {
    if (request.preliminary) {
        val granted = envelope.term >= state.term && !hearsLeader() && isUpToDate(request)
        sendWhenSynced(envelope.sender, ReplicaMessage.VoteAnswer(preliminary = true, granted))
        return
    }
    if (envelope.term > state.term) {
        if (hearsLeader()) return
        adoptTerm(envelope.term)
    }
    val free = state.vote.votedFor == null || state.vote.votedFor == envelope.sender.identity
    val granted = envelope.term == state.term && free && isUpToDate(request)
    if (granted && state.vote.votedFor == null) {
        persistVote(state.vote.copy(votedFor = envelope.sender.identity))
        resetElectionDeadline()
    }
    sendWhenSynced(envelope.sender, ReplicaMessage.VoteAnswer(preliminary = false, granted))
}

private fun ReplicaStep.hearsLeader(): Boolean {
    val heardAt = leading?.contactAt ?: state.leaderHeardAt
    return safeguards.respectLeases && now - heardAt < settings.electionTimeoutMinimum
}

private fun ReplicaStep.isUpToDate(request: ReplicaMessage.VoteRequest): Boolean =
    !safeguards.compareLogs ||
        request.lastTerm > state.log.lastTerm ||
        (request.lastTerm == state.log.lastTerm && request.lastIndex >= state.lastIndex)

internal fun ReplicaStep.receiveVoteAnswer(
    envelope: ReplicaEnvelope,
    answer: ReplicaMessage.VoteAnswer,
) {
    val phase = state.phase as? Campaigning ?: return
    if (!answer.granted || answer.preliminary != phase.preliminary) return
    if (!answer.preliminary && envelope.term != state.term) return
    state = state.copy(phase = phase.copy(granted = phase.granted.add(envelope.sender.identity)))
    countVotes()
}

internal fun ReplicaStep.adoptTerm(term: Long) {
    persistVote(state.vote.copy(term = term, votedFor = null))
    becomeFollower(null)
}

internal fun ReplicaStep.becomeFollower(leader: ReplicaMember?) {
    val former = state.phase
    val formerLeader = state.leader
    state = state.copy(phase = Following(leader))
    if (former is Leading) {
        record(ConsensusEvent.LEADER_STEPPED_DOWN, "term" to state.term)
        giveUpRequests(former)
        resetElectionDeadline()
    }
    if (formerLeader != leader) giveUpForwardedReads()
    if (former is Leading || formerLeader != leader) emit(ReplicaEffect.BecameFollower(state.term, leader))
}

private fun ReplicaStep.becomeLeader() {
    record(ConsensusEvent.LEADER_ELECTED, "term" to state.term)
    val next = state.lastIndex + 1
    val progress = otherMembers().associate { it.identity to Progress(it, next, answeredAt = now) }
    state = state.copy(phase = Leading(next, now, now, progress = progress.toPersistentMap()), incoming = null)
    giveUpForwardedReads()
    appendOwn(RecordKind.NO_OPERATION, ByteArray(0))
    startRound()
}
