package hawthorncrank.control.internal

import hawthorncrank.common.EventCode
import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.control.ControlState
import hawthorncrank.control.FencingNumber
import hawthorncrank.protocol.EngineOrder
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.StreamNotice
import hawthorncrank.protocol.WireMessage

/** Side effects of a reduction, which the process carries out in order. */
internal sealed interface ControlEffect {
    data class Persist(
        val effect: ReplicaEffect.Persist,
    ) : ControlEffect

    /** Encode the state and send it back as `SnapshotCaptured`. */
    data class EncodeSnapshot(
        val index: Long,
        val state: ControlState,
    ) : ControlEffect

    data class SendToReplica(
        val replica: String,
        val envelope: ReplicaEnvelope,
    ) : ControlEffect

    data class NotifyReplica(
        val replica: String,
        val notice: StreamNotice,
    ) : ControlEffect

    data class SendToLink(
        val link: Long,
        val message: WireMessage,
    ) : ControlEffect

    /** Another replica has the place of this one, or none waits for it. */
    data object ReadyToStop : ControlEffect

    data class CloseLink(
        val link: Long,
    ) : ControlEffect

    /** Post the order to the engine with the expiry that [orderExpiry] returns at the time of posting. */
    data class PostOrder(
        val upstream: String,
        val address: String,
        val order: EngineOrder,
        val fencing: FencingNumber,
    ) : ControlEffect

    /** Make the call if [dutyCallAllowed] still allows it when it is written, and report its end. */
    data class CallPlatform(
        val call: DutyCall,
    ) : ControlEffect

    data class CountDutyCall(
        val duty: String,
        val result: String,
    ) : ControlEffect

    /** Read the platform's list of upstreams and report it as [ControlEvent.UpstreamsListed]. */
    data class ReadUpstreamList(
        val askedAt: Long,
    ) : ControlEffect

    /** Read the report of an engine and send it as [ControlEvent.EngineReported]. */
    data class ReadEngineReport(
        val engine: String,
        val address: String,
        val askedAt: Long,
    ) : ControlEffect

    /** Record the time from the arrival of a command at this replica until it was applied here. */
    data class MeasureCommand(
        val kind: String,
        val milliseconds: Long,
    ) : ControlEffect

    /** Write a log event. */
    data class Record(
        val event: EventCode,
        val fields: Map<String, Any?>,
    ) : ControlEffect
}
