package hawthorncrank.consensus.internal

import hawthorncrank.protocol.ReplicaMember
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** What a replica does in its term. */
internal sealed interface Phase

internal data class Following(
    val leader: ReplicaMember?,
) : Phase

internal data class Campaigning(
    val preliminary: Boolean,
    val granted: PersistentSet<String> = persistentSetOf(),
) : Phase

/**
 * Leads the term. [firstIndex] is the record that opened the term; reads and membership changes wait for its commit. A
 * [round] is one broadcast; [roundTimes] holds when each unconfirmed round was sent, and [contactAt] when the newest
 * confirmed one was. Reads start rounds too, so [dutiesAt] says apart from [heartbeatAt] when the work that goes with
 * heartbeats was done.
 */
internal data class Leading(
    val firstIndex: Long,
    val contactAt: Long,
    val heartbeatAt: Long,
    val dutiesAt: Long = heartbeatAt,
    val round: Long = 0,
    val confirmedRound: Long = 0,
    val roundTimes: PersistentMap<Long, Long> = persistentMapOf(),
    val committedAtHeartbeat: Long = Long.MAX_VALUE,
    val progress: PersistentMap<String, Progress> = persistentMapOf(),
    val proposals: PersistentMap<Long, Origin> = persistentMapOf(),
    val seen: PersistentSet<Origin.Remote> = persistentSetOf(),
    val reads: PersistentList<PendingRead> = persistentListOf(),
    val announced: Boolean = false,
) : Phase

/** Who asked: a ticket of this process, or a numbered request of another replica. */
internal sealed interface Origin {
    data class Local(
        val ticket: Long,
    ) : Origin

    data class Remote(
        val member: ReplicaMember,
        val number: Long,
    ) : Origin
}

internal data class PendingRead(
    val neededRound: Long,
    val index: Long,
    val origin: Origin,
)

/**
 * The leader's view of one other replica. While [probing], at most one message is unanswered; [inFlight] holds the last
 * index of each unanswered message.
 */
internal data class Progress(
    val member: ReplicaMember,
    val next: Long,
    val answeredAt: Long,
    val match: Long = 0,
    val probing: Boolean = true,
    val inFlight: PersistentList<Long> = persistentListOf(),
    val sentAt: Long = 0,
    val confirmedRound: Long = 0,
    val transfer: SnapshotTransfer? = null,
    val heard: Boolean = false,
)

internal data class SnapshotTransfer(
    val lastIndex: Long,
    val offset: Long = 0,
)
