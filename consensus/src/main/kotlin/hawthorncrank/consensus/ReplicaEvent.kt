package hawthorncrank.consensus

import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember

/**
 * Everything that a control replica's agreement decides on. A ticket is a number that the owner of the replica chooses
 * and has in use once at a time; every event with a ticket is answered by exactly one effect that carries it.
 */
sealed interface ReplicaEvent {
    data class EnvelopeReceived(
        val envelope: ReplicaEnvelope,
    ) : ReplicaEvent

    /** Sent every 100 ms. */
    data object Tick : ReplicaEvent

    /** Every persist effect up to and including [token] is on the disk. */
    data class StorageSynced(
        val token: Long,
    ) : ReplicaEvent

    /** Any replica takes commands; a follower passes them to the leader. Answered by `AnswerTicket`. */
    class ProposeCommand(
        val ticket: Long,
        val payload: ByteArray,
    ) : ReplicaEvent

    /** Asks for a linearizable read. Answered by `ReadConfirmed`, or by `AnswerTicket` with a refusal. */
    data class RequestRead(
        val ticket: Long,
    ) : ReplicaEvent

    /** Forms the group, once. [members] includes this replica. */
    data class FormGroup(
        val ticket: Long,
        val members: List<ReplicaMember>,
    ) : ReplicaEvent

    /** Adds a learner that becomes a voter once it has caught up. Only the leader accepts it. */
    data class AdmitMember(
        val ticket: Long,
        val member: ReplicaMember,
    ) : ReplicaEvent

    /** Adds a learner that takes the place of [oldIdentity] once it has caught up. Only the leader accepts it. */
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

    /** The application state after the record [index], as asked for by `CaptureSnapshot`. */
    class SnapshotCaptured(
        val index: Long,
        val bytes: ByteArray,
    ) : ReplicaEvent

    /** The process is about to end: pending tickets are answered and the replica takes no further part. */
    data object Stop : ReplicaEvent
}
