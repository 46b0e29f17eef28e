@file:OptIn(ExperimentalSerializationApi::class)

package hawthorncrank.protocol

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** A control replica: its name in the settings, the identity of its data folder, and the address of its link port. */
@Serializable
data class ReplicaMember(
    val name: String,
    val identity: String,
    val address: String,
)

/** One replicated record. [payload] is opaque to the consensus module. */
@Serializable
class LogRecord(
    val index: Long,
    val term: Long,
    val kind: RecordKind,
    @ByteString val payload: ByteArray,
) {
    override fun equals(other: Any?): Boolean =
        other is LogRecord &&
            index == other.index &&
            term == other.term &&
            kind == other.kind &&
            payload.contentEquals(other.payload)

    override fun hashCode(): Int = (index * 31 + term).hashCode()

    override fun toString(): String = "LogRecord(index=$index, term=$term, kind=$kind, ${payload.size} bytes)"
}

@Serializable
enum class RecordKind { COMMAND, MEMBERSHIP, NO_OPERATION }

/**
 * A message between control replicas, marked with group and sender so that a replica outside the group is ignored.
 * [recipient] is an identity, so that a message to a lost identity does not reach its successor at the same address. A
 * [ReplicaMessage.JoinRequest] knows neither group nor recipient and leaves both empty.
 */
@Serializable
data class ReplicaEnvelope(
    val group: String,
    val sender: ReplicaMember,
    val recipient: String,
    val term: Long,
    val message: ReplicaMessage,
) : WireMessage

@Serializable
sealed interface ReplicaMessage {
    /** Only the leader of the envelope's term sends these. */
    sealed interface FromLeader

    @Serializable
    data class VoteRequest(
        val preliminary: Boolean,
        val lastIndex: Long,
        val lastTerm: Long,
    ) : ReplicaMessage

    @Serializable
    data class VoteAnswer(
        val preliminary: Boolean,
        val granted: Boolean,
    ) : ReplicaMessage

    /** [round] rises with every broadcast of the leader and confirms reads. */
    @Serializable
    data class Append(
        val previousIndex: Long,
        val previousTerm: Long,
        val records: List<LogRecord>,
        val committedIndex: Long,
        val round: Long,
    ) : ReplicaMessage,
        FromLeader

    /** [matchIndex] is synced when [accepted]; otherwise it hints where to continue. */
    @Serializable
    data class AppendAnswer(
        val accepted: Boolean,
        val matchIndex: Long,
        val round: Long,
    ) : ReplicaMessage

    @Serializable
    class InstallSnapshot(
        val lastIndex: Long,
        val lastTerm: Long,
        @ByteString val membership: ByteArray,
        val offset: Long,
        @ByteString val bytes: ByteArray,
        val last: Boolean,
        val round: Long,
    ) : ReplicaMessage,
        FromLeader

    @Serializable
    data class SnapshotAnswer(
        val lastIndex: Long,
        val nextOffset: Long,
        val round: Long,
    ) : ReplicaMessage

    /** A replica with a new identity asks to be admitted in place of the lost one of the same name. */
    @Serializable
    data object JoinRequest : ReplicaMessage

    /** A follower passes a client's command to the leader. */
    @Serializable
    class ForwardedCommand(
        val ticket: Long,
        @ByteString val payload: ByteArray,
    ) : ReplicaMessage

    /**
     * [index] is where the command was committed. Without it, [refused] tells whether the command is certainly not
     * committed, or may be because the leader lost its term.
     */
    @Serializable
    data class ForwardedAnswer(
        val ticket: Long,
        val index: Long?,
        val refused: Boolean,
    ) : ReplicaMessage

    /** Asks the leader for an index that a linearizable read must have applied. */
    @Serializable
    data class ReadIndexRequest(
        val ticket: Long,
    ) : ReplicaMessage

    @Serializable
    data class ReadIndexAnswer(
        val ticket: Long,
        val index: Long?,
    ) : ReplicaMessage
}
