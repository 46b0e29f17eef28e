/*
 * Membership changes, one at a time, by records that take effect when they are appended. A replica that comes back
 * under the name of a member with a new identity lost its disk: the leader admits it as a learner, and when it has
 * caught up, one record puts it in the place of the lost identity. Until then the lost identity counts in majorities.
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
 * The forming replica writes the membership as the first record, of term 0, and the group takes its identity as
 * identifier. The record is persisted before the group: a replica that has a group always has the record.
 */
internal fun ReplicaStep.formGroup(event: ReplicaEvent.FormGroup) {
    val members = event.members
    val valid =
        members.size in 1..MAXIMUM_VOTERS &&
            state.self in members &&
            members.distinctBy { it.identity }.size == members.size &&
            members.distinctBy { it.name }.size == members.size
    if (state.group != null) return refuse(event.ticket, ReplicaRefusal.ALREADY_FORMED)
    if (!valid) return refuse(event.ticket, ReplicaRefusal.INVALID_MEMBERS)
    persistRecords(listOf(LogRecord(1, 0, RecordKind.MEMBERSHIP, encodeMembership(Membership(members)))))
    persistVote(VoteState(group = state.self.identity))
    defer(DeferredAction.AnswerFormed(event.ticket))
    state = state.copy(electionDeadline = now)
    record(ConsensusEvent.GROUP_FORMED, "group" to state.group, "members" to members.joinToString { it.name })
}

/** A member of a group addressed this identity, so the group's membership names it. */
internal fun ReplicaStep.joinGroup(group: String) {
    persistVote(VoteState(group = group))
    resetElectionDeadline()
    record(ConsensusEvent.GROUP_JOINED, "group" to group)
}

/**
 * An unadmitted replica asks, and so does one that hears from no leader: the record of its admission may have been lost
 * with its leader's term, even if its own log still holds it. A leader ignores the request of a member.
 */
internal fun ReplicaStep.askToJoinWhenDue() {
    val forgotten = now - state.leaderHeardAt >= settings.electionTimeoutMaximum
    if (state.joinAt > now || state.group != null && !forgotten) return
    state = state.copy(joinAt = now + settings.joinInterval)
    settings.peers.forEach { send(ReplicaMember(it.name, "", it.address), ReplicaMessage.JoinRequest) }
}

internal fun ReplicaStep.isMember(replica: ReplicaMember): Boolean =
    (state.requiredMemberships + state.membership).any { membership ->
        membership.voters.any { it.identity == replica.identity } ||
            membership.learners.any { it.member.identity == replica.identity }
    }

internal fun ReplicaStep.receiveJoinRequest(envelope: ReplicaEnvelope) {
    val leader = leading ?: return
    val sender = envelope.sender
    val otherGroup = envelope.group.isNotEmpty() && envelope.group != state.group
    if (otherGroup || sender.identity in leader.progress) return
    val membership = state.membership
    val voter = membership.voters.find { it.name == sender.name }
    val learner = membership.learners.find { it.member.name == sender.name }
    if (sender.identity in membership.retired) return ignoreJoin(sender)
    if (voter == null && learner == null) return admitUnknown(sender)
    if (listOfNotNull(voter, learner?.member).any { isAlive(it.identity) }) return ignoreJoin(sender)
    if (changeInProgress()) return
    val replaces = learner?.replaces ?: voter?.identity
    appendMembership(membership.withLearner(Learner(sender, replaces), learner))
}

private fun ReplicaStep.ignoreJoin(sender: ReplicaMember) =
    record(ConsensusEvent.JOIN_IGNORED, "name" to sender.name, "identity" to sender.identity)

/** A replica that no member is named after fills a free place, or the place of a voter that is gone for good. */
private fun ReplicaStep.admitUnknown(sender: ReplicaMember) {
    val target = settings.targetVoters ?: return ignoreJoin(sender)
    if (changeInProgress()) return
    val membership = state.membership
    val places = membership.voters.size + membership.learners.count { it.replaces == null }
    val replaces = if (places < target) null else lostVoter()?.identity ?: return ignoreJoin(sender)
    appendMembership(membership.withLearner(Learner(sender, replaces), null))
}

private fun ReplicaStep.lostVoter(): ReplicaMember? =
    state.membership.voters.firstOrNull { voter ->
        val progress = leading?.progress?.get(voter.identity)
        progress != null &&
            now - progress.answeredAt >= settings.lostMilliseconds &&
            state.membership.learners.none { it.replaces == voter.identity }
    }

/** Two processes under one name are a mistake in the settings; the one that runs is not replaced. */
private fun ReplicaStep.isAlive(identity: String): Boolean {
    val progress = leading?.progress?.get(identity) ?: return identity == state.self.identity
    return progress.heard && now - progress.answeredAt < settings.electionTimeoutMinimum
}

/**
 * A displaced learner is not retired. It never voted, and if a late request of an older identity displaced it, it must be
 * able to ask again.
 */
private fun Membership.withLearner(
    learner: Learner,
    displaced: Learner?,
): Membership = copy(learners = learners.filter { it != displaced } + learner)

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
            else -> null
        }
    if (problem != null) return refuse(ticket, problem)
    val kept = membership.learners.filter { it.member.identity != identity }
    val changed =
        membership.copy(
            voters = membership.voters.filter { it.identity != identity },
            learners = kept.map { if (it.replaces == identity) it.copy(replaces = null) else it },
            retired = (membership.retired + identity).takeLast(RETIRED_IDENTITIES),
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

/** A change also waits until the leader has committed a record of its own term. */
private fun ReplicaStep.changeInProgress(): Boolean {
    val leader = leading ?: return true
    return state.memberships.last().index > state.committedIndex || state.committedIndex < leader.firstIndex
}

/** Makes a learner a voter when it holds everything that was committed at the last heartbeat. */
internal fun ReplicaStep.promoteLearner() {
    val leader = leading ?: return
    if (changeInProgress()) return
    val membership = state.membership
    val ready =
        membership.learners.find {
            val progress = leader.progress[it.member.identity]
            val caughtUp = progress != null && progress.match >= leader.committedAtHeartbeat
            caughtUp && isAlive(it.member.identity) && (it.replaces == null || !isAlive(it.replaces))
        } ?: return
    val voters =
        if (ready.replaces == null) {
            membership.voters + ready.member
        } else {
            membership.voters.map { if (it.identity == ready.replaces) ready.member else it }
        }
    val retired = (membership.retired + listOfNotNull(ready.replaces)).takeLast(RETIRED_IDENTITIES)
    appendMembership(Membership(voters, membership.learners - ready, retired))
}

private fun ReplicaStep.appendMembership(
    membership: Membership,
    origin: Origin? = null,
) {
    val index = appendOwn(RecordKind.MEMBERSHIP, encodeMembership(membership))
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

internal fun ReplicaStep.noteMembershipCommits(records: List<LogRecord>) {
    if (records.none { it.kind == RecordKind.MEMBERSHIP }) return
    val membership = state.membership
    record(
        ConsensusEvent.MEMBERSHIP_CHANGED,
        "voters" to membership.voters.joinToString { "${it.name} ${it.identity}" },
        "learners" to membership.learners.joinToString { "${it.member.name} ${it.member.identity}" },
    )
    if (state.isRetired(state.self.identity)) record(ConsensusEvent.IDENTITY_RETIRED)
    if (leading == null) return
    updateRecipients()
    if (membership.voters.none { it.identity == state.self.identity }) becomeFollower(null)
}

private const val MAXIMUM_VOTERS = 7

/** Enough for a decade of lost disks; older identities are unknown, and unknown identities never count either. */
private const val RETIRED_IDENTITIES = 100
