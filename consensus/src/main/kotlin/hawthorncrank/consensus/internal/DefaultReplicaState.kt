package hawthorncrank.consensus.internal

import hawthorncrank.consensus.Membership
import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaRole
import hawthorncrank.consensus.ReplicaSnapshot
import hawthorncrank.consensus.ReplicaState
import hawthorncrank.consensus.VoteState
import hawthorncrank.protocol.ReplicaMember
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * The full state of one replica. [deferred] holds actions that wait until all earlier persist effects are synced.
 * Records are applied in the same reduction that commits them, so the applied index equals [committedIndex].
 *
 * [contacts] are members of the group that this replica has heard of, by address; it asks them to be admitted. [waiting]
 * are the replicas that asked this member to be admitted, by name and in the order in which they first asked.
 * [bytesSinceCapture] is the size of the records that were committed since the last snapshot was captured.
 * [groupWitnesses] are the seeds that have stored that this group exists. [leaving] holds the times at which voters said
 * that they are about to stop, by identity. [lastLeader] is the identity of the last leader that this replica followed.
 */
internal data class DefaultReplicaState(
    override val self: ReplicaMember,
    val vote: VoteState,
    val log: ReplicaLog,
    val snapshot: ReplicaSnapshot?,
    val memberships: PersistentList<IndexedMembership>,
    override val committedIndex: Long,
    val syncedIndex: Long,
    val randomSeed: Long,
    val nextForwardNumber: Long,
    override val leaderHeardAt: Long,
    val electionDeadline: Long,
    val phase: Phase = Following(null),
    val lastToken: Long = 0,
    val syncedToken: Long = 0,
    val deferred: PersistentList<Deferred> = persistentListOf(),
    val forwardedRequests: PersistentMap<Long, ForwardedRequest> = persistentMapOf(),
    val pendingAnswers: PersistentList<PendingAnswer> = persistentListOf(),
    val incoming: IncomingSnapshot? = null,
    val pendingCaptureIndex: Long? = null,
    val bytesSinceCapture: Long = 0,
    val nextJoinRequestAt: Long = Long.MIN_VALUE,
    val formationClaims: PersistentMap<String, FormationClaim> = persistentMapOf(),
    val formationWithheld: Boolean = false,
    override val awaitsAdmission: Boolean = false,
    val contacts: PersistentMap<String, ReplicaMember> = persistentMapOf(),
    val waiting: PersistentMap<String, WaitingReplica> = persistentMapOf(),
    val groupWitnesses: PersistentSet<String> = persistentSetOf(),
    val lastLeader: String? = null,
    val leaving: PersistentMap<String, Long> = persistentMapOf(),
    val handOverRequested: Boolean = false,
    val stopped: Boolean = false,
) : ReplicaState {
    override val group: String? get() = vote.group
    override val term: Long get() = vote.term
    override val membership: Membership get() = memberships.last().membership
    override val appliedIndex: Long get() = committedIndex
    override val lastIndex: Long get() = log.lastIndex
    override val logBytes: Long get() = log.bytes
    override val snapshotBytes: Long get() = snapshot?.bytes?.size?.toLong() ?: 0

    override val role: ReplicaRole
        get() =
            when {
                group == null -> ReplicaRole.UNADMITTED
                phase is Leading -> ReplicaRole.LEADER
                phase is Campaigning -> ReplicaRole.CANDIDATE
                else -> ReplicaRole.FOLLOWER
            }

    override val leader: ReplicaMember?
        get() =
            when (phase) {
                is Following -> phase.leader
                is Campaigning -> null
                is Leading -> self
            }

    override val majorityContactAt: Long?
        get() = (phase as? Leading)?.takeIf { it.confirmedRound > 0 }?.majorityContactAt

    override val waitingReplicas: List<ReplicaMember>
        get() = waiting.values.map { it.member }

    override val handingOver: Boolean
        get() =
            handOverRequested && leader != null && membership.voters.any { it.identity == self.identity } &&
                (
                    waiting.keys.any { !membership.hasName(it) } ||
                        membership.learners.any { it.replaces == self.identity }
                )

    /**
     * A commit needs a majority in each of these memberships: the newest and, until the leader that appended it has
     * committed it, the previous one. A replacement swaps two identities in one step, so if the lost identity came
     * back, a majority of the old voters and one of the new voters might not intersect. Requiring both prevents that. A
     * later leader must not require the previous majority, because a second loss may have made it unreachable.
     */
    val requiredMemberships: List<Membership>
        get() {
            val newest = memberships.last()
            val ownChange = newest.index > committedIndex && log.term(newest.index) == term
            val required = if (ownChange) memberships.takeLast(2) else memberships.takeLast(1)
            return required.map { it.membership }.filter { it.voters.isNotEmpty() }
        }

    /** Considers committed changes only: an uncommitted removal may be undone, and the replica may lead again. */
    fun isRetired(identity: String): Boolean =
        memberships
            .lastOrNull { it.index <= committedIndex }
            ?.membership
            ?.retired
            .orEmpty()
            .contains(identity)

    /** The highest value that a majority of voters has reached in every required membership. */
    fun quorumValue(value: (String) -> Long): Long =
        requiredMemberships.minOfOrNull { membership ->
            membership.voters.map { value(it.identity) }.sortedDescending()[membership.voters.size / 2]
        } ?: 0
}

internal data class IndexedMembership(
    val index: Long,
    val membership: Membership,
)

/** A command or read that was forwarded to the leader and is not answered yet. */
internal data class ForwardedRequest(
    val ticket: Long,
    val sentAt: Long,
    val read: Boolean,
)

/** A ticket that is answered once the record [index] is applied. */
internal data class PendingAnswer(
    val ticket: Long,
    val index: Long,
    val waitingSince: Long,
    val read: Boolean,
)

/** The part of a snapshot received so far. */
internal data class IncomingSnapshot(
    val sender: String,
    val lastIndex: Long,
    val size: Long = 0,
    val chunks: PersistentList<ByteArray> = persistentListOf(),
)

internal data class Deferred(
    val token: Long,
    val action: DeferredAction,
)

internal sealed interface DeferredAction {
    data class Send(
        val effect: ReplicaEffect.SendEnvelope,
    ) : DeferredAction

    data class LogSynced(
        val lastIndex: Long,
    ) : DeferredAction

    data class CountOwnVote(
        val term: Long,
    ) : DeferredAction

    data class AnswerFormation(
        val ticket: Long,
    ) : DeferredAction

    data class CompactLog(
        val snapshot: ReplicaSnapshot,
    ) : DeferredAction
}
