package hawthorncrank.control.internal

import hawthorncrank.capacity.ReportedStream
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.control.FencingNumber
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.StreamNotice

/**
 * The events that the reducer of a control process handles. The process numbers its links and never reuses a number.
 */
internal sealed interface ControlEvent {
    data class Replica(
        val event: ReplicaEvent,
    ) : ControlEvent

    data class StreamNoticed(
        val notice: StreamNotice,
    ) : ControlEvent

    data class EntryMessage(
        val link: Long,
        val entry: String,
        val message: EntryToControl,
    ) : ControlEvent

    /** A command of an operator whose key has been verified. */
    data class OperatorMessage(
        val link: Long,
        val number: Long,
        val operator: String,
        val command: OperatorCommand,
    ) : ControlEvent

    data class LinkClosed(
        val link: Long,
    ) : ControlEvent

    data class OrderAnswered(
        val upstream: String,
        val fencing: FencingNumber,
        val answer: OrderAnswer,
    ) : ControlEvent

    data class DutyAnswered(
        val call: DutyCall,
        val result: DutyResult,
    ) : ControlEvent

    /** The platform's list, or null if it could not be read. [askedAt] is when the process began to read it. */
    data class UpstreamsListed(
        val askedAt: Long,
        val upstreams: List<ListedUpstream>?,
    ) : ControlEvent

    /** What an engine holds for its streams, or null if it did not tell. [askedAt] is when the process began to ask. */
    data class EngineReported(
        val engine: String,
        val askedAt: Long,
        val streams: Map<String, ReportedStream>?,
    ) : ControlEvent

    /** Sent every 100 ms. */
    data class Tick(
        val wallTime: Long,
    ) : ControlEvent

    /** The process is about to stop. Answered by [ControlEffect.ReadyToStop] once no hand-over is in progress. */
    data object Leave : ControlEvent

    data object Stop : ControlEvent
}

/** The result of posting an order to an engine. */
internal sealed interface OrderAnswer {
    data object CarriedOut : OrderAnswer

    /**
     * The engine refused the order: it has an old fencing number, expects another version, or is unknown to the engine.
     */
    data class Refused(
        val detail: String,
    ) : OrderAnswer

    data class Unreachable(
        val detail: String,
    ) : OrderAnswer
}
