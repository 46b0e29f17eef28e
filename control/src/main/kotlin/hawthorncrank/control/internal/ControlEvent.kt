package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.control.FencingNumber
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.OperatorCommand

/** Everything that a control process decides on. Links are numbered by the process; numbers are never used again. */
internal sealed interface ControlEvent {
    data class Replica(
        val event: ReplicaEvent,
    ) : ControlEvent

    data class EntryMessage(
        val link: Long,
        val entry: String,
        val message: EntryToControl,
    ) : ControlEvent

    /** A command of an operator whose key has been checked. */
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

    /** Sent every 100 ms. */
    data class Tick(
        val wallTime: Long,
    ) : ControlEvent

    data object Stop : ControlEvent
}

/** What became of posting an order. */
internal sealed interface OrderAnswer {
    data object Carried : OrderAnswer

    /** The engine refused it: an older fencing number, another version, or an unknown order. */
    data class Refused(
        val detail: String,
    ) : OrderAnswer

    data class Unreachable(
        val detail: String,
    ) : OrderAnswer
}
