package hawthorncrank.consensus

import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember

/**
 * The inputs of the replica's consensus protocol. A ticket identifies a request: the caller chooses a number that no
 * other pending request uses, and exactly one effect with the same ticket answers it.
 */
sealed interface ReplicaEvent {
    data class EnvelopeReceived(
        val envelope: ReplicaEnvelope,
    ) : ReplicaEvent

    /** Sent every 100 ms. */
    data object Tick : ReplicaEvent

    /** Every persist effect up to and including [token] has been synced to disk. */
    data class StorageSynced(
        val token: Long,
    ) : ReplicaEvent

    /** Proposes a command on any replica; a follower forwards it to the leader. Answered by `AnswerTicket`. */
    class ProposeCommand(
        val ticket: Long,
        val payload: ByteArray,
    ) : ReplicaEvent

    /** Requests a linearizable read. Answered by `ReadConfirmed`, or by `AnswerTicket` with a refusal. */
    data class RequestRead(
        val ticket: Long,
    ) : ReplicaEvent

    /** Forms the group; this is possible only once. [members] includes this replica. */
    data class FormGroup(
        val ticket: Long,
        val members: List<ReplicaMember>,
    ) : ReplicaEvent

    /** Adds a learner that becomes a voter once it has caught up. Only the leader accepts it. */
    data class AdmitMember(
        val ticket: Long,
        val member: ReplicaMember,
    ) : ReplicaEvent

    /** Adds a learner that replaces the voter [oldIdentity] once it has caught up. Only the leader accepts it. */
    data class ReplaceMember(
        val ticket: Long,
        val oldIdentity: String,
        val member: ReplicaMember,
    ) : ReplicaEvent

    /** Removes a voter or learner. Only the leader accepts it. */
    data class RemoveMember(
        val ticket: Long,
        val identity: String,
    ) : ReplicaEvent

    /** The application state after the record [index], as requested by `CaptureSnapshot`. */
    class SnapshotCaptured(
        val index: Long,
        val bytes: ByteArray,
    ) : ReplicaEvent

    /**
     * The process is about to stop. A voter offers its place to a replica that waits to be admitted, if there is one,
     * and [ReplicaState.handingOver] is true until that replica has it.
     */
    data object Leave : ReplicaEvent

    /** The process is shutting down: pending tickets are answered, later requests refused and other events ignored. */
    data object Stop : ReplicaEvent
}
