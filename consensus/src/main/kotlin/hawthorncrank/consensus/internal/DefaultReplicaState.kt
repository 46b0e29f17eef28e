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
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * All that one replica knows. [deferred] holds what may only happen once everything persisted before it is synced.
 * Committed records are handed to the application in the reduction that commits them, so the applied index equals
 * [committedIndex].
 */
internal data class DefaultReplicaState(
    override val self: ReplicaMember,
    val vote: VoteState,
    val log: ReplicaLog,
    val snapshot: ReplicaSnapshot?,
    val memberships: PersistentList<IndexedMembership>,
    override val committedIndex: Long,
    val syncedIndex: Long,
    val random: Long,
    val nextNumber: Long,
    val leaderHeardAt: Long,
    val electionDeadline: Long,
    val phase: Phase = Following(null),
    val lastToken: Long = 0,
    val syncedToken: Long = 0,
    val deferred: PersistentList<Deferred> = persistentListOf(),
    val forwarded: PersistentMap<Long, Forwarded> = persistentMapOf(),
    val waiting: PersistentList<Waiting> = persistentListOf(),
    val incoming: IncomingSnapshot? = null,
    val capturing: Long? = null,
    val joinAt: Long = Long.MIN_VALUE,
    val stopped: Boolean = false,
) : ReplicaState {
    override val group: String? get() = vote.group
    override val term: Long get() = vote.term
    override val membership: Membership get() = memberships.last().membership
    override val appliedIndex: Long get() = committedIndex
    override val lastIndex: Long get() = log.lastIndex

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
        get() = (phase as? Leading)?.takeIf { it.confirmedRound > 0 }?.contactAt

    /**
     * The memberships that a commit needs majorities of: the newest and, until the leader that wrote it has committed
     * it, the one before. A replacement swaps two identities in one step, so that majorities before and after it need
     * not intersect if the lost identity were to appear again; a majority of both prevents that. A later leader must
     * not ask for the earlier majority, which a second loss may have made impossible.
     */
    val requiredMemberships: List<Membership>
        get() {
            val newest = memberships.last()
            val ownChange = newest.index > committedIndex && log.term(newest.index) == term
            val required = if (ownChange) memberships.takeLast(2) else memberships.takeLast(1)
            return required.map { it.membership }.filter { it.voters.isNotEmpty() }
        }

    /** Only a committed change retires an identity: an uncommitted one may be given up, and its subject lead again. */
    fun isRetired(identity: String): Boolean =
        memberships
            .lastOrNull { it.index <= committedIndex }
            ?.membership
            ?.retired
            .orEmpty()
            .contains(identity)

    /** The highest value that a majority reaches, in every required membership. */
    fun quorumValue(value: (String) -> Long): Long =
        requiredMemberships.minOfOrNull { membership ->
            membership.voters.map { value(it.identity) }.sortedDescending()[membership.voters.size / 2]
        } ?: 0
}

internal data class IndexedMembership(
    val index: Long,
    val membership: Membership,
)

/** A command or read that was passed to the leader. */
internal data class Forwarded(
    val ticket: Long,
    val sentAt: Long,
    val read: Boolean,
)

/** A ticket whose answer waits until the application contains [index]. */
internal data class Waiting(
    val ticket: Long,
    val index: Long,
    val since: Long,
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

    data class AnswerFormed(
        val ticket: Long,
    ) : DeferredAction

    data class CompactLog(
        val snapshot: ReplicaSnapshot,
    ) : DeferredAction
}
