package hawthorncrank.consensus.internal

import hawthorncrank.consensus.ReplicaSnapshot
import hawthorncrank.protocol.ReplicaMember
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** The role of a replica in its current term, with the data that only this role needs. */
internal sealed interface Phase

internal data class Following(
    val leader: ReplicaMember?,
) : Phase

/**
 * A candidate. While [preliminary], it collects pre-votes and has not yet increased its term. [granted] holds the
 * identities of the replicas that would vote or have voted for it.
 */
internal data class Campaigning(
    val preliminary: Boolean,
    val granted: PersistentSet<String> = persistentSetOf(),
) : Phase

/**
 * The leader of the term. [firstIndex] is the index of the term's first record; reads and membership changes wait until
 * it is committed. A [round] is one broadcast. [roundTimes] holds the send times of unconfirmed rounds, and
 * [majorityContactAt] the send time of the newest confirmed round. [heartbeatAt] is the send time of the last round.
 * Because reads start rounds too, [periodicWorkAt] separately holds the time of the leader's last periodic work.
 */
internal data class Leading(
    val firstIndex: Long,
    val majorityContactAt: Long,
    val heartbeatAt: Long,
    val periodicWorkAt: Long = heartbeatAt,
    val round: Long = 0,
    val confirmedRound: Long = 0,
    val roundTimes: PersistentMap<Long, Long> = persistentMapOf(),
    val committedAtHeartbeat: Long = Long.MAX_VALUE,
    val progress: PersistentMap<String, Progress> = persistentMapOf(),
    val proposals: PersistentMap<Long, Origin> = persistentMapOf(),
    val recentCommands: PersistentSet<Origin.Remote> = persistentSetOf(),
    val reads: PersistentList<PendingRead> = persistentListOf(),
    val leadershipReported: Boolean = false,
) : Phase

/** The source of a request: a ticket of this process, or a numbered request from another replica. */
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
 * The replication state of one other replica, kept by the leader. [inFlight] holds the last index of each unanswered
 * message with records. While [probing], there is at most one.
 */
internal data class Progress(
    val member: ReplicaMember,
    val nextIndex: Long,
    val answeredAt: Long,
    val matchIndex: Long = 0,
    val probing: Boolean = true,
    val inFlight: PersistentList<Long> = persistentListOf(),
    val sentAt: Long = 0,
    val confirmedRound: Long = 0,
    val transfer: SnapshotTransfer? = null,
    val hasAnswered: Boolean = false,
)

/** A snapshot that is being sent to a follower, which has received the bytes before [offset]. */
internal data class SnapshotTransfer(
    val snapshot: ReplicaSnapshot,
    val offset: Long = 0,
) {
    val lastIndex: Long get() = snapshot.lastIndex
}
