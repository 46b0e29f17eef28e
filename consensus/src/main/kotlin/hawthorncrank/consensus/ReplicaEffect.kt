package hawthorncrank.consensus

import hawthorncrank.common.EventCode
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember

/** An action that the process executes after a reduction. Effects are executed in order. */
sealed interface ReplicaEffect {
    /** Sends at best effort; the protocol tolerates a loss. The identity of [recipient] is empty if it is unknown. */
    data class SendEnvelope(
        val recipient: ReplicaMember,
        val envelope: ReplicaEnvelope,
    ) : ReplicaEffect

    /**
     * A write to [ReplicaStorage]. Persist effects are executed in order. After a sync, the process sends
     * `StorageSynced` with the highest [token] that the sync covers, so that one sync can cover many effects.
     */
    sealed interface Persist : ReplicaEffect {
        val token: Long
    }

    /** Appends [records], replacing all records from the index of the first one onwards. */
    data class PersistRecords(
        override val token: Long,
        val records: List<LogRecord>,
    ) : Persist

    data class PersistVote(
        override val token: Long,
        val vote: VoteState,
    ) : Persist

    /** If [retainRecords] is false, the log conflicts with the snapshot and is deleted entirely. */
    data class PersistSnapshot(
        override val token: Long,
        val snapshot: ReplicaSnapshot,
        val retainRecords: Boolean,
    ) : Persist

    /** Applies these committed records in order. They follow the last applied record without a gap. */
    data class ApplyRecords(
        val records: List<LogRecord>,
    ) : ReplicaEffect

    data class AnswerTicket(
        val ticket: Long,
        val answer: TicketAnswer,
    ) : ReplicaEffect

    /** The application state now includes every record that was committed when the read was requested. */
    data class ReadConfirmed(
        val ticket: Long,
        val index: Long,
    ) : ReplicaEffect

    /** Captures the application state before any later effect is executed. `SnapshotCaptured` returns the result. */
    data class CaptureSnapshot(
        val index: Long,
    ) : ReplicaEffect

    /** Replaces the application state with [bytes], the state after record [index]. */
    class InstallSnapshot(
        val index: Long,
        val bytes: ByteArray,
    ) : ReplicaEffect

    /** This replica is the leader of [term] and has applied every record committed in earlier terms. */
    data class BecameLeader(
        val term: Long,
    ) : ReplicaEffect

    /** This replica follows [leader], or knows no leader if it is null. */
    data class BecameFollower(
        val term: Long,
        val leader: ReplicaMember?,
    ) : ReplicaEffect

    data class LogEvent(
        val event: EventCode,
        val fields: Map<String, Any?>,
    ) : ReplicaEffect
}

sealed interface TicketAnswer {
    data class Committed(
        val index: Long,
    ) : TicketAnswer

    /** Nothing was or will be committed for the ticket. */
    data class Refused(
        val reason: ReplicaRefusal,
    ) : TicketAnswer

    /** The command may or may not be committed. */
    data object Unknown : TicketAnswer
}
