/*
 * The leader's decisions about who belongs to the group. Replicas that ask to be admitted wait in the order in which they
 * first asked; any voter remembers them, so that the next leader knows them too. A waiting replica is admitted as a
 * learner
 * - if a member has its name: a new identity under the same name means that the member's disk was lost;
 * - if the group has fewer voters than its target;
 * - to replace a voter that is about to stop, or has been silent.
 *
 * A new identity under the same name replaces the lost one in a single change. A voter that is silent or stops may be
 * alive. It is therefore replaced in two changes, of which the first adds the learner to the voters and the second
 * removes the other voter, and it may ask to be admitted again.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.Learner
import hawthorncrank.consensus.Membership
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.ReplicaMessage

internal fun ReplicaStep.receiveJoinRequest(envelope: ReplicaEnvelope) {
    val group = state.group ?: return
    val sender = envelope.sender
    if (envelope.group.isNotEmpty() && envelope.group != group) return ignoreJoin(sender)
    if (isMember(sender)) return
    if (state.membership.hasName(sender.name)) return replaceLostIdentity(sender)
    val known = state.waiting[sender.name]
    val waiting = known?.copy(member = sender, heardAt = now) ?: WaitingReplica(sender, now)
    state = state.copy(waiting = state.waiting.put(sender.name, waiting))
    if (state.waiting.size > MAXIMUM_WAITING) forgetOldestWaiting()
    notifyOfGroup(waiting)
    admitWaitingReplica()
    if (leading != null && known?.member != sender && !isMember(sender)) logWaiting(sender)
}

/** Not done for earlier requests, which may come from an identity that was lost as well. */
private fun ReplicaStep.replaceLostIdentity(sender: ReplicaMember) {
    if (leading == null) return
    val membership = state.membership
    val voter = membership.voters.find { it.name == sender.name }
    val learner = membership.learners.find { it.member.name == sender.name }
    val isOutdated = sender.identity in membership.retired
    if (isOutdated || listOfNotNull(voter, learner?.member).any { isAlive(it.identity) }) return ignoreJoin(sender)
    if (changeInProgress() || membership.replacementInProgress() != null) return
    appendMembership(membership.withLearner(Learner(sender, learner?.replaces ?: voter?.identity), learner))
}

private fun ReplicaStep.forgetOldestWaiting() {
    val oldest = state.waiting.entries.minBy { it.value.heardAt }
    state = state.copy(waiting = state.waiting.remove(oldest.key))
}

internal fun ReplicaStep.expireWaiting() {
    val oldest = now - WAITING_LIFETIME_INTERVALS * settings.joinInterval
    state.waiting
        .filterValues { it.heardAt < oldest || state.membership.hasName(it.member.name) }
        .keys
        .forEach { state = state.copy(waiting = state.waiting.remove(it)) }
}

private fun ReplicaStep.logWaiting(replica: ReplicaMember) {
    val target = settings.targetVoters ?: return ignoreJoin(replica)
    if (state.membership.voters.size < target) return
    logEvent(ConsensusEvent.REPLICA_WAITING, "name" to replica.name, "identity" to replica.identity)
}

private fun ReplicaStep.ignoreJoin(sender: ReplicaMember) =
    logEvent(ConsensusEvent.JOIN_IGNORED, "name" to sender.name, "identity" to sender.identity)

/** Admits the replica that has waited longest among those for which there is a place. */
internal fun ReplicaStep.admitWaitingReplica() {
    if (leading == null || changeInProgress() || state.membership.replacementInProgress() != null) return
    for (waiting in state.waiting.values) {
        if (state.membership.hasName(waiting.member.name)) continue
        val learner = learnerFor(waiting.member) ?: return
        if (awaitsGroupWitnesses()) return
        state = state.copy(waiting = state.waiting.remove(waiting.member.name))
        return appendMembership(state.membership.withLearner(learner, displaced = null))
    }
}

private fun ReplicaStep.learnerFor(replica: ReplicaMember): Learner? {
    val target = settings.targetVoters ?: return null
    val membership = state.membership
    val plannedVoters = membership.voters.size + membership.learners.count { it.replaces == null }
    if (plannedVoters < target) return Learner(replica, null)
    return replaceableVoter()?.let { Learner(replica, it.identity) }
}

private fun ReplicaStep.replaceableVoter(): ReplicaMember? =
    state.membership.voters.firstOrNull { voter ->
        (isLeaving(voter.identity) || isSilent(voter.identity)) &&
            state.membership.learners.none { it.replaces == voter.identity }
    }

private fun ReplicaStep.isSilent(identity: String): Boolean {
    val progress = leading?.progress?.get(identity) ?: return false
    return now - progress.answeredAt >= settings.lostVoterTimeout
}

/** Two processes with the same name are a configuration mistake. The running member is not replaced. */
private fun ReplicaStep.isAlive(identity: String): Boolean {
    val progress = leading?.progress?.get(identity) ?: return identity == state.self.identity
    return progress.hasAnswered && now - progress.answeredAt < settings.electionTimeoutMinimum
}

/**
 * The [displaced] learner is not retired: it never voted, and it must be able to join again if a delayed request from
 * an older identity displaced it.
 */
internal fun Membership.withLearner(
    learner: Learner,
    displaced: Learner?,
): Membership =
    copy(
        learners = learners.filter { it != displaced } + learner,
        retired = retired - learner.member.identity,
    )

internal fun Membership.hasName(name: String): Boolean =
    voters.any { it.name == name } || learners.any { it.member.name == name }

/** The learner that already votes while the voter that it replaces is not removed yet. */
internal fun Membership.replacementInProgress(): Learner? =
    learners.find { learner -> voters.any { it.identity == learner.member.identity } }

/** Adds a learner to the voters once it has every record that was committed at the last heartbeat. */
internal fun ReplicaStep.promoteLearner() {
    val leader = leading ?: return
    if (changeInProgress() || state.membership.replacementInProgress() != null) return
    val membership = state.membership
    val ready =
        membership.learners.find {
            val progress = leader.progress[it.member.identity]
            val caughtUp = progress != null && progress.matchIndex >= leader.committedAtHeartbeat
            caughtUp && isAlive(it.member.identity) && hasPlace(it)
        } ?: return
    val replaced = membership.voters.find { it.identity == ready.replaces }
    when {
        replaced == null ->
            appendMembership(
                membership.copy(
                    voters = membership.voters + ready.member,
                    learners =
                        membership.learners - ready,
                ),
            )
        replaced.name == ready.member.name -> appendMembership(membership.replacing(replaced, ready))
        else -> appendMembership(membership.copy(voters = membership.voters + ready.member))
    }
}

/** The lost identity cannot vote any more, so one change is safe, and a second lost disk cannot interrupt it. */
private fun Membership.replacing(
    lost: ReplicaMember,
    learner: Learner,
) = Membership(
    voters.map { if (it.identity == lost.identity) learner.member else it },
    learners - learner,
    (retired + lost.identity).takeLast(MAXIMUM_RETIRED_IDENTITIES),
)

private fun ReplicaStep.hasPlace(learner: Learner): Boolean =
    if (learner.replaces == null) {
        state.membership.voters.size < (settings.targetVoters ?: Int.MAX_VALUE)
    } else {
        state.membership.voters.any { it.identity == learner.replaces } && mayBeReplaced(learner.replaces)
    }

private fun ReplicaStep.mayBeReplaced(identity: String) = isLeaving(identity) || !isAlive(identity)

/** Removes the voter whose replacement votes since the last change. */
internal fun ReplicaStep.finishReplacement() {
    if (leading == null || changeInProgress()) return
    val membership = state.membership
    val replacement = membership.replacementInProgress() ?: return
    val retired = (membership.retired + listOfNotNull(replacement.replaces)).takeLast(MAXIMUM_RETIRED_IDENTITIES)
    val voters = membership.voters.filter { it.identity != replacement.replaces }
    appendMembership(Membership(voters, membership.learners - replacement, retired))
}

/**
 * Releases a learner whose place is taken, because the voter that it was to replace is back or was replaced by another.
 * Otherwise it could not take the place of a voter that is lost later. It waits again, and keeps what it has received.
 */
internal fun ReplicaStep.releaseLearner() {
    if (leading == null || changeInProgress()) return
    val membership = state.membership
    if (membership.replacementInProgress() != null) return
    val released = membership.learners.find(::isPlaceTaken) ?: return
    logEvent(
        ConsensusEvent.LEARNER_RELEASED,
        "name" to released.member.name,
        "identity" to released.member.identity,
        "voter" to released.replaces,
    )
    appendMembership(membership.copy(learners = membership.learners - released))
}

private fun ReplicaStep.isPlaceTaken(learner: Learner): Boolean {
    val target = settings.targetVoters
    val voter = state.membership.voters.find { it.identity == learner.replaces }
    if (voter == null) return learner.replaces != null || target != null && state.membership.voters.size >= target
    // Where operators name the members, they may order the replacement of a voter that runs.
    return target != null && voter.name != learner.member.name && !mayBeReplaced(voter.identity)
}

/** Starts to hand over the place of this voter. */
internal fun ReplicaStep.leave() {
    if (settings.targetVoters == null) return
    state = state.copy(handOverRequested = true)
    announceLeaving()
}

/** Tells the leader until it has replaced this voter, because the message or the leader may be lost. */
internal fun ReplicaStep.announceLeaving() {
    if (!state.handingOver) return
    if (leading != null) return voterLeaves(state.self)
    state.leader?.let { send(it, ReplicaMessage.Leaving) }
}

internal fun ReplicaStep.voterLeaves(voter: ReplicaMember) {
    if (leading == null || state.membership.voters.none { it.identity == voter.identity }) return
    if (!isLeaving(voter.identity)) {
        logEvent(ConsensusEvent.VOTER_LEAVING, "name" to voter.name, "identity" to voter.identity)
    }
    state = state.copy(leaving = state.leaving.put(voter.identity, now))
    admitWaitingReplica()
}

private fun ReplicaStep.isLeaving(identity: String): Boolean {
    val announcedAt = state.leaving[identity] ?: return false
    return now - announcedAt < settings.electionTimeoutMinimum
}

private const val MAXIMUM_WAITING = 32
private const val WAITING_LIFETIME_INTERVALS = 3
