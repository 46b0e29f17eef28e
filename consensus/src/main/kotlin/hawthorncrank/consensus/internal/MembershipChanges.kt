/*
 * Changes the membership, one change at a time, through records that take effect when they are appended. Two majorities
 * of replicas that still have their disks, one before and one after a change, always have a replica in common.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.Learner
import hawthorncrank.consensus.Membership
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.ReplicaRefusal
import hawthorncrank.consensus.VoteState
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.RecordKind
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.ReplicaMessage
import kotlinx.collections.immutable.toPersistentMap

/**
 * The replica that forms the group appends the membership as the first record, with term 0. Its identity becomes the
 * identifier of the group. The record is written before the group, so that a crash between the two writes cannot leave
 * this replica with a group but without the record.
 */
internal fun ReplicaStep.formGroup(event: ReplicaEvent.FormGroup) {
    val members = event.members
    val valid =
        members.size in 1..MAXIMUM_VOTERS &&
            state.self in members &&
            members.distinctBy { it.identity }.size == members.size &&
            members.distinctBy { it.name }.size == members.size
    if (state.group != null) return refuse(event.ticket, ReplicaRefusal.ALREADY_FORMED)
    if (state.contacts.isNotEmpty()) return refuse(event.ticket, ReplicaRefusal.GROUP_EXISTS)
    if (!valid) return refuse(event.ticket, ReplicaRefusal.INVALID_MEMBERS)
    persistRecords(listOf(LogRecord(1, 0, RecordKind.MEMBERSHIP, encodeMembership(Membership(members)))))
    persistVote(VoteState(group = state.self.identity))
    defer(DeferredAction.AnswerFormation(event.ticket))
    state = state.copy(electionDeadline = now)
    logEvent(ConsensusEvent.GROUP_FORMED, "group" to state.group, "members" to members.joinToString { it.name })
}

/** Joins the group of a member that sent a message to this identity, which shows that the group has admitted it. */
internal fun ReplicaStep.joinGroup(group: String) {
    persistVote(VoteState(group = group))
    resetElectionDeadline()
    logEvent(ConsensusEvent.GROUP_JOINED, "group" to group)
}

internal fun ReplicaStep.isMember(replica: ReplicaMember): Boolean =
    (state.requiredMemberships + state.membership).any { membership ->
        membership.voters.any { it.identity == replica.identity } ||
            membership.learners.any { it.member.identity == replica.identity }
    }

internal fun ReplicaStep.admit(
    ticket: Long,
    member: ReplicaMember,
    replaces: String?,
) {
    val membership = state.membership
    val identities = membership.voters.map { it.identity } + membership.learners.map { it.member.identity }
    val problem =
        changeProblem() ?: when {
            member.identity in identities || member.identity in membership.retired -> ReplicaRefusal.ALREADY_MEMBER
            replaces != null && membership.voters.none { it.identity == replaces } -> ReplicaRefusal.NOT_MEMBER
            replaces != null && membership.learners.any { it.replaces == replaces } -> ReplicaRefusal.ALREADY_MEMBER
            replaces == null && !hasRoomFor(member) -> ReplicaRefusal.INVALID_MEMBERS
            else -> null
        }
    if (problem != null) return refuse(ticket, problem)
    appendMembership(membership.withLearner(Learner(member, replaces), null), Origin.Local(ticket))
}

private fun ReplicaStep.hasRoomFor(member: ReplicaMember): Boolean {
    val added = state.membership.learners.filter { it.replaces == null }
    return state.membership.voters.size + added.size < MAXIMUM_VOTERS &&
        state.membership.voters.none { it.name == member.name } &&
        state.membership.learners.none { it.member.name == member.name }
}

internal fun ReplicaStep.remove(
    ticket: Long,
    identity: String,
) {
    val membership = state.membership
    val isVoter = membership.voters.any { it.identity == identity }
    val isLearner = membership.learners.any { it.member.identity == identity }
    val problem =
        changeProblem() ?: when {
            !isVoter && !isLearner -> ReplicaRefusal.NOT_MEMBER
            isVoter && membership.voters.size == 1 -> ReplicaRefusal.LAST_VOTER
            membership.replacementInProgress() != null -> ReplicaRefusal.CHANGE_IN_PROGRESS
            else -> null
        }
    if (problem != null) return refuse(ticket, problem)
    val kept = membership.learners.filter { it.member.identity != identity }
    val changed =
        membership.copy(
            voters = membership.voters.filter { it.identity != identity },
            learners = kept.map { if (it.replaces == identity) it.copy(replaces = null) else it },
            retired = (membership.retired + identity).takeLast(MAXIMUM_RETIRED_IDENTITIES),
        )
    appendMembership(changed, Origin.Local(ticket))
}

private fun ReplicaStep.changeProblem(): ReplicaRefusal? =
    when {
        state.group == null -> ReplicaRefusal.NOT_ADMITTED
        leading == null -> ReplicaRefusal.NOT_LEADER
        changeInProgress() -> ReplicaRefusal.CHANGE_IN_PROGRESS
        else -> null
    }

/** Also true until the leader has committed a record of its own term. */
internal fun ReplicaStep.changeInProgress(): Boolean {
    val leader = leading ?: return true
    return state.memberships.last().index > state.committedIndex || state.committedIndex < leader.firstIndex
}

internal fun ReplicaStep.appendMembership(
    membership: Membership,
    origin: Origin? = null,
) {
    val index = appendAsLeader(RecordKind.MEMBERSHIP, encodeMembership(membership))
    if (origin != null) updateLeading { it.copy(proposals = it.proposals.put(index, origin)) }
    updateRecipients()
    replicateToAll()
}

private fun ReplicaStep.updateRecipients() =
    updateLeading { leader ->
        val progress =
            otherMembers().associate { member ->
                val known = leader.progress[member.identity]
                member.identity to (known ?: Progress(member, state.lastIndex + 1, answeredAt = now))
            }
        leader.copy(progress = progress.toPersistentMap())
    }

internal fun ReplicaStep.handleCommittedMemberships(indexes: LongRange) {
    if (state.memberships.none { it.index in indexes }) return
    val membership = state.membership
    logEvent(
        ConsensusEvent.MEMBERSHIP_CHANGED,
        "voters" to membership.voters.joinToString { "${it.name} ${it.identity}" },
        "learners" to membership.learners.joinToString { "${it.member.name} ${it.member.identity}" },
    )
    if (state.isRetired(state.self.identity)) logEvent(ConsensusEvent.IDENTITY_RETIRED)
    if (leading == null) return
    updateRecipients()
    if (membership.voters.none { it.identity == state.self.identity }) return becomeFollower(null)
    finishReplacement()
}

private const val MAXIMUM_VOTERS = 7

/** Enough for ten years of lost disks. Older identities are forgotten; unknown identities never count as members. */
internal const val MAXIMUM_RETIRED_IDENTITIES = 100
