@file:OptIn(ExperimentalSerializationApi::class)

/*
 * The names on the wire are short because replicas exchange these messages all the time: with full names, the idle
 * heartbeats of 7 replicas cost their leader 8.1 KB per second, above the 6 KB that a node may spend.
 */

package hawthorncrank.protocol

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** A control replica: its name in the settings, the identity of its data folder, and the address of its link port. */
@Serializable
data class ReplicaMember(
    @SerialName("n") val name: String,
    @SerialName("i") val identity: String,
    @SerialName("a") val address: String,
)

/** One replicated record. [payload] is opaque to the consensus module. */
@Serializable
class LogRecord(
    @SerialName("x") val index: Long,
    @SerialName("t") val term: Long,
    @SerialName("k") val kind: RecordKind,
    @SerialName("p") @ByteString val payload: ByteArray,
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
 * [recipient] is an identity, so that a message to a lost replica is not accepted by its replacement at the same
 * address. A [ReplicaMessage.JoinRequest] and a [ReplicaMessage.FormationNotice] know neither group nor recipient and leave
 * both empty. A [ReplicaMessage.GroupNoted] comes from a replica without a group and names only the recipient.
 */
@Serializable
@SerialName("replica")
data class ReplicaEnvelope(
    @SerialName("g") val group: String,
    @SerialName("s") val sender: ReplicaMember,
    @SerialName("r") val recipient: String,
    @SerialName("t") val term: Long,
    @SerialName("m") val message: ReplicaMessage,
) : WireMessage

/** Tells another replica which version of the upstreams' software began a stream. */
@Serializable
@SerialName("stream")
data class StreamNotice(
    val stream: String,
    val software: String,
) : WireMessage

@Serializable
sealed interface ReplicaMessage {
    /** Marks messages that only the leader of the envelope's term sends. */
    sealed interface FromLeader

    @Serializable
    @SerialName("vote")
    data class VoteRequest(
        @SerialName("p") val preliminary: Boolean,
        @SerialName("x") val lastIndex: Long,
        @SerialName("y") val lastTerm: Long,
    ) : ReplicaMessage

    @Serializable
    @SerialName("voted")
    data class VoteAnswer(
        @SerialName("p") val preliminary: Boolean,
        @SerialName("g") val granted: Boolean,
    ) : ReplicaMessage

    /** [round] increases with every broadcast of the leader and is used to confirm reads. */
    @Serializable
    @SerialName("append")
    data class Append(
        @SerialName("x") val previousIndex: Long,
        @SerialName("y") val previousTerm: Long,
        @SerialName("r") val records: List<LogRecord>,
        @SerialName("c") val committedIndex: Long,
        @SerialName("n") val round: Long,
    ) : ReplicaMessage,
        FromLeader

    /** If [accepted], records are synced up to [matchIndex]; otherwise it hints at where the leader should continue. */
    @Serializable
    @SerialName("appended")
    data class AppendAnswer(
        @SerialName("a") val accepted: Boolean,
        @SerialName("x") val matchIndex: Long,
        @SerialName("n") val round: Long,
    ) : ReplicaMessage

    @Serializable
    @SerialName("install")
    class InstallSnapshot(
        @SerialName("x") val lastIndex: Long,
        @SerialName("y") val lastTerm: Long,
        @SerialName("m") @ByteString val membership: ByteArray,
        @SerialName("o") val offset: Long,
        @SerialName("b") @ByteString val bytes: ByteArray,
        @SerialName("l") val last: Boolean,
        @SerialName("n") val round: Long,
    ) : ReplicaMessage,
        FromLeader

    @Serializable
    @SerialName("installed")
    data class SnapshotAnswer(
        @SerialName("x") val lastIndex: Long,
        @SerialName("o") val nextOffset: Long,
        @SerialName("n") val round: Long,
    ) : ReplicaMessage

    /** A replica with a new identity asks to be admitted in place of the lost one of the same name. */
    @Serializable
    @SerialName("join")
    data object JoinRequest : ReplicaMessage

    /**
     * Sent by a replica that belongs to no group. [mayForm] is set if it is one that may still form the group, and
     * [knowsNoGroup] if its disk shows that it never heard of one.
     */
    @Serializable
    @SerialName("formation")
    data class FormationNotice(
        @SerialName("f") val mayForm: Boolean,
        @SerialName("k") val knowsNoGroup: Boolean = false,
    ) : ReplicaMessage

    /** Tells a replica outside the group that the group exists and which [voters] it can ask to be admitted. */
    @Serializable
    @SerialName("group")
    data class GroupNotice(
        @SerialName("v") val voters: List<ReplicaMember>,
    ) : ReplicaMessage

    /** Answers a [GroupNotice]: the sender has stored that a group exists. */
    @Serializable
    @SerialName("noted")
    data object GroupNoted : ReplicaMessage

    /** A voter tells the leader that it is about to stop, so that a waiting replica can take its place before that. */
    @Serializable
    @SerialName("leaving")
    data object Leaving : ReplicaMessage

    /** A follower passes a client's command to the leader. */
    @Serializable
    @SerialName("command")
    class ForwardedCommand(
        @SerialName("k") val ticket: Long,
        @SerialName("p") @ByteString val payload: ByteArray,
    ) : ReplicaMessage

    /**
     * [index] is where the command was committed. If it is null, the command is certainly not committed if [refused];
     * otherwise the leader lost its leadership, and the command may or may not be committed.
     */
    @Serializable
    @SerialName("answer")
    data class ForwardedAnswer(
        @SerialName("k") val ticket: Long,
        @SerialName("x") val index: Long?,
        @SerialName("f") val refused: Boolean,
    ) : ReplicaMessage

    /** Asks the leader for the index that must be applied before a linearizable read is answered. */
    @Serializable
    @SerialName("read")
    data class ReadIndexRequest(
        @SerialName("k") val ticket: Long,
    ) : ReplicaMessage

    @Serializable
    @SerialName("index")
    data class ReadIndexAnswer(
        @SerialName("k") val ticket: Long,
        @SerialName("x") val index: Long?,
    ) : ReplicaMessage
}
