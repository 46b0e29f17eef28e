/*
 * How a replica outside the group finds it. It knows the addresses of a few peers, of which none may be a member, so each
 * member that it reaches tells it the voters. A replica that lost its disk also hears the leader, which still sends to
 * the lost identity at its address.
 *
 * A group that consists of its first replica alone admits others only when a majority of the seeds has stored that it
 * exists. Together with the rules in GroupFormation.kt, no later loss of disks lets a seed form a second group.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.ReplicaMessage
import kotlinx.collections.immutable.PersistentMap

/**
 * Sends join requests while the replica is not admitted or hears from no leader. In the second case the record of its
 * admission may have been lost with the leader that appended it, even if its own log still contains that record, or the
 * replica may have been replaced. Members ignore requests from other members.
 */
internal fun ReplicaStep.requestJoinWhenDue() {
    val hearsNoLeader = now - state.leaderHeardAt >= settings.electionTimeoutMaximum
    if (state.nextJoinRequestAt > now || state.group != null && !hearsNoLeader) return
    state = state.copy(nextJoinRequestAt = now + settings.joinInterval)
    joinRecipients().forEach { send(it, ReplicaMessage.JoinRequest) }
    sendFormationNotices()
}

private fun ReplicaStep.joinRecipients(): List<ReplicaMember> {
    val peers = settings.peers.map { ReplicaMember(it.name, "", it.address) }
    val known = state.contacts.values + state.membership.voters
    return (peers + known.map { it.copy(identity = "") })
        .filter { it.address != state.self.address }
        .distinctBy { it.address }
}

/** Remembers a member of a group at whose address this replica can ask to be admitted. */
internal fun ReplicaStep.learnContacts(members: List<ReplicaMember>) {
    val unknown = members.filter { it.address !in state.contacts && it.address != state.self.address }
    if (unknown.isEmpty()) return
    var contacts: PersistentMap<String, ReplicaMember> = state.contacts
    unknown.forEach { contacts = contacts.put(it.address, it) }
    while (contacts.size > MAXIMUM_CONTACTS) contacts = contacts.remove(contacts.keys.first())
    state = state.copy(contacts = contacts)
    // Peers are asked at each interval anyway. A seed must not overtake the others at the first start.
    val isNew = unknown.any { member -> settings.peers.none { it.address == member.address } }
    if (isNew) state = state.copy(nextJoinRequestAt = now)
    if (state.vote.knowsNoGroup) persistVote(state.vote.copy(knowsNoGroup = false))
}

/** A voter of a group that sends to a former identity of this replica shows that the group exists. */
internal fun ReplicaStep.receiveForFormerIdentity(envelope: ReplicaEnvelope) {
    if (state.group != null) return
    learnContacts(listOf(envelope.sender))
    awaitAdmission(listOf(envelope.sender))
}

private fun ReplicaStep.awaitAdmission(voters: List<ReplicaMember>) {
    if (state.awaitsAdmission || voters.any { it.identity == state.self.identity }) return
    state = state.copy(awaitsAdmission = true)
    logEvent(ConsensusEvent.ADMISSION_AWAITED, "voters" to voters.joinToString { it.name })
}

internal fun ReplicaStep.notifyOfGroup(waiting: WaitingReplica) {
    val notifiedAt = waiting.notifiedAt
    if (notifiedAt != null && now - notifiedAt < settings.joinInterval * INTERVALS_BETWEEN_NOTICES) return
    state = state.copy(waiting = state.waiting.put(waiting.member.name, waiting.copy(notifiedAt = now)))
    send(waiting.member, ReplicaMessage.GroupNotice(state.membership.voters))
}

internal fun ReplicaStep.receiveGroupNotice(
    envelope: ReplicaEnvelope,
    notice: ReplicaMessage.GroupNotice,
) {
    if (envelope.group.isEmpty() || state.group != null && state.group != envelope.group) return
    learnContacts(notice.voters + envelope.sender)
    awaitAdmission(notice.voters)
    sendWhenSynced(envelope.sender, ReplicaMessage.GroupNoted)
}

internal fun ReplicaStep.receiveGroupNoted(envelope: ReplicaEnvelope) {
    if (envelope.recipient != state.self.identity || state.group == null) return
    state = state.copy(groupWitnesses = state.groupWitnesses.add(envelope.sender.name))
    admitWaitingReplica()
}

/** Whether this replica alone is the group and too few seeds have stored that it exists. Notifies the others again. */
internal fun ReplicaStep.awaitsGroupWitnesses(): Boolean {
    val seeds = settings.formation?.seeds ?: return false
    if (state.membership.voters
            .singleOrNull()
            ?.identity != state.self.identity
    ) {
        return false
    }
    val witnesses = seeds.count { it == state.self.name || it in state.groupWitnesses }
    if (witnesses > seeds.size / 2) return false
    settings.peers
        .filter { it.name in seeds && it.name !in state.groupWitnesses }
        .forEach { send(ReplicaMember(it.name, "", it.address), ReplicaMessage.GroupNotice(state.membership.voters)) }
    return true
}

private const val MAXIMUM_CONTACTS = 32
private const val INTERVALS_BETWEEN_NOTICES = 5
