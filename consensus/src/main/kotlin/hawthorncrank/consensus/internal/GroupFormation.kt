/*
 * The first seed forms the group when it starts for the first time. If it restarts before that, it never does, and the
 * next seed that has not restarted takes its place.
 *
 * A second group must never form beside one that has acknowledged something. So a seed forms one only while all other
 * seeds say that they belong to none, those before it also that they never will form one, and a majority of the seeds
 * can rule out from their disks that they ever heard of one. A seed that lost its disk cannot, because it may have been a
 * member. Before a group admits its second replica, a majority of the seeds has stored that it exists.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.VoteState
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.ReplicaMessage

internal fun ReplicaStep.receiveFormationNotice(
    envelope: ReplicaEnvelope,
    notice: ReplicaMessage.FormationNotice,
) {
    if (state.group != null) return
    val claim = FormationClaim(notice.mayForm, notice.knowsNoGroup, now)
    state = state.copy(formationClaims = state.formationClaims.put(envelope.sender.name, claim))
}

internal fun ReplicaStep.sendFormationNotices() {
    val formation = settings.formation ?: return
    if (state.group != null) return
    val notice = ReplicaMessage.FormationNotice(mayForm(), state.vote.knowsNoGroup)
    val seeds = settings.peers.filter { it.name in formation.seeds }
    seeds.forEach { seed -> send(ReplicaMember(seed.name, "", seed.address), notice) }
}

internal fun ReplicaStep.formGroupWhenDue() {
    val formation = settings.formation ?: return
    if (state.group != null || !mayForm()) return
    val position = formation.seeds.indexOf(state.self.name)
    // The first seed is told to form the group by its own process.
    if (position < 1) return
    val oldest = now - CLAIM_LIFETIME_INTERVALS * settings.joinInterval
    val claims = state.formationClaims.filterValues { it.heardAt >= oldest }
    val earlier = formation.seeds.take(position)
    val others = formation.seeds - state.self.name
    if (!claims.keys.containsAll(others) || earlier.any { claims.getValue(it).mayForm }) return
    val certain = 1 + others.count { claims.getValue(it).knowsNoGroup }
    if (certain <= formation.seeds.size / 2) return withholdFormation()
    formGroup(ReplicaEvent.FormGroup(NO_TICKET, listOf(state.self)))
}

/** A seed that heard of a group neither forms one nor keeps the seeds after it from doing so. */
private fun ReplicaStep.mayForm(): Boolean = settings.formation?.firstStart == true && state.vote.knowsNoGroup

private fun ReplicaStep.withholdFormation() {
    if (state.formationWithheld) return
    state = state.copy(formationWithheld = true)
    logEvent(ConsensusEvent.FORMATION_WITHHELD, "seeds" to settings.formation?.seeds?.joinToString())
}

/** Stores at the first start of all replicas that the disk is empty because it is new. */
internal fun ReplicaStep.markFirstStart() {
    val isNew = state.vote == VoteState() && state.lastIndex == 0L
    if (settings.formation?.firstStart == true && isNew) persistVote(VoteState(knowsNoGroup = true))
}

private const val CLAIM_LIFETIME_INTERVALS = 2
private const val NO_TICKET = Long.MIN_VALUE
