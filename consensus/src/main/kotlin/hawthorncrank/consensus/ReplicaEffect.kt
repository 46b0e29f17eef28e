package hawthorncrank.consensus

import hawthorncrank.common.EventCode
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember

/** What the process must do after a reduction, in order. */
sealed interface ReplicaEffect {
    /** Send at best effort; losing it is harmless. [recipient] may be known by name and address only. */
    data class SendEnvelope(
        val recipient: ReplicaMember,
        val envelope: ReplicaEnvelope,
    ) : ReplicaEffect

    /**
     * Something for [ReplicaStorage]. Persist effects are carried out in order; after a sync the process sends
     * `StorageSynced` with the highest [token] that the sync covers, so that one sync serves many effects.
     */
    sealed interface Persist : ReplicaEffect {
        val token: Long
    }

    /** Replaces everything in the log from the index of the first record on. */
    data class PersistRecords(
        override val token: Long,
        val records: List<LogRecord>,
    ) : Persist

    data class PersistVote(
        override val token: Long,
        val vote: VoteState,
    ) : Persist

    /** When not [retainRecords], the log conflicts with the snapshot and is discarded whole. */
    data class PersistSnapshot(
        override val token: Long,
        val snapshot: ReplicaSnapshot,
        val retainRecords: Boolean,
    ) : Persist

    /** Apply these committed records in order. They follow the last applied record without a gap. */
    data class ApplyRecords(
        val records: List<LogRecord>,
    ) : ReplicaEffect

    data class AnswerTicket(
        val ticket: Long,
        val answer: TicketAnswer,
    ) : ReplicaEffect

    /** The application now contains everything that was committed when the read was requested. */
    data class ReadConfirmed(
        val ticket: Long,
        val index: Long,
    ) : ReplicaEffect

    /** Capture the application state now, before any later effect, and send it back as `SnapshotCaptured`. */
    data class CaptureSnapshot(
        val index: Long,
    ) : ReplicaEffect

    /** Replace the application state by this one, which includes every record up to [index]. */
    class InstallSnapshot(
        val index: Long,
        val bytes: ByteArray,
    ) : ReplicaEffect

    /** This replica leads [term], and every record committed in earlier terms is applied. */
    data class BecameLeader(
        val term: Long,
    ) : ReplicaEffect

    /** This replica follows [leader], or knows of none. */
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
