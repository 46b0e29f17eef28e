/*
 * Leader election with pre-vote. A replica increments its term only after a majority has answered that it would vote
 * for it, so that an isolated replica does not force an election when it reconnects. A replica that has heard from a
 * leader within the minimum election timeout grants neither pre-votes nor votes.
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
    if (!mayCampaign()) return
    resetElectionDeadline()
    becomeCandidate(Campaigning(preliminary = true, granted = persistentSetOf(state.self.identity)))
    otherVoters().forEach { send(it, voteRequest(preliminary = true)) }
    countVotes()
}

/**
 * A voter whose own removal is not yet committed may be the only one whose log is complete enough to win an election.
 * It may therefore still campaign, but its own vote does not count.
 */
private fun ReplicaStep.mayCampaign(): Boolean {
    val uncommitted = state.memberships.last().index > state.committedIndex
    return state.memberships.takeLast(if (uncommitted) 2 else 1).any { known ->
        known.membership.voters.any { it.identity == state.self.identity }
    }
}

private fun ReplicaStep.startElection() {
    persistVote(state.vote.copy(term = state.term + 1, votedFor = state.self.identity))
    resetElectionDeadline()
    becomeCandidate(Campaigning(preliminary = false))
    logEvent(ConsensusEvent.ELECTION_STARTED, "term" to state.term)
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
        val granted = envelope.term >= state.term && !hasRecentLeaderContact() && isUpToDate(request)
        sendWhenSynced(envelope.sender, ReplicaMessage.VoteAnswer(preliminary = true, granted))
        return
    }
    if (envelope.term > state.term) {
        if (hasRecentLeaderContact()) return
        adoptTerm(envelope.term)
    }
    val mayVote = state.vote.votedFor == null || state.vote.votedFor == envelope.sender.identity
    val granted = envelope.term == state.term && mayVote && isUpToDate(request)
    if (granted && state.vote.votedFor == null) {
        persistVote(state.vote.copy(votedFor = envelope.sender.identity))
        resetElectionDeadline()
    }
    sendWhenSynced(envelope.sender, ReplicaMessage.VoteAnswer(preliminary = false, granted))
}

private fun ReplicaStep.hasRecentLeaderContact(): Boolean {
    val heardAt = leading?.majorityContactAt ?: state.leaderHeardAt
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
        logEvent(ConsensusEvent.LEADER_STEPPED_DOWN, "term" to state.term)
        failPendingRequests(former)
        resetElectionDeadline()
    }
    if (formerLeader != leader) failForwardedReads()
    if (former is Leading || formerLeader != leader) emit(ReplicaEffect.BecameFollower(state.term, leader))
}

private fun ReplicaStep.becomeLeader() {
    logEvent(ConsensusEvent.LEADER_ELECTED, "term" to state.term)
    val next = state.lastIndex + 1
    val progress =
        otherMembers().associate {
            // The silence of the former leader began before this election.
            val heardAt = if (it.identity == state.lastLeader) state.leaderHeardAt else now
            it.identity to Progress(it, next, answeredAt = heardAt)
        }
    state =
        state.copy(
            phase = Leading(next, now, now, progress = progress.toPersistentMap()),
            incoming = null,
            awaitsAdmission = false,
        )
    failForwardedReads()
    appendAsLeader(RecordKind.NO_OPERATION, ByteArray(0))
    startRound()
}
