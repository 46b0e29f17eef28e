package hawthorncrank.entry.core

import hawthorncrank.common.EventCode
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ZoneMessage

/** What the entry process must do after a reduction, in order. */
sealed interface EntryEffect {
    /**
     * Send the request of [requestNumber] to [upstream]. Only this attempt's bytes may reach the caller from now on. If
     * bytes of another attempt have reached it already and [resume] is absent, nothing is sent and the attempt ends as
     * [AttemptEnd.Cancelled]; a [AbortStream] follows. With a [claimNumber] the answer is held back until
     * [ReleaseAnswer]. With [freshConnection] the request goes out only on a connection that is new or was used in the
     * last 2 s.
     */
    data class StartAttempt(
        val attemptNumber: Long,
        val requestNumber: Long,
        val upstream: String,
        val address: String,
        val priority: Int,
        val timeouts: UpstreamTimeouts,
        val deadlineMilliseconds: Long?,
        val claimNumber: Long?,
        val resume: ResumePoint?,
        val freshConnection: Boolean = false,
    ) : EntryEffect

    /** Stop the attempt upstream and discard whatever it still sends. */
    data class CancelAttempt(
        val attemptNumber: Long,
        val reason: CancelReason,
    ) : EntryEffect

    /** Let the current attempt's answer, held back until now, go to the caller: a recorded non-idempotent call. */
    data class ReleaseAnswer(
        val requestNumber: Long,
        val recorded: Boolean,
    ) : EntryEffect

    /** Answer the caller with a refusal or an error; nothing of an upstream has reached it. */
    data class RefuseCaller(
        val requestNumber: Long,
        val refusal: Refusal,
    ) : EntryEffect

    /** Answer a resend with the recorded outcome of the first call. */
    data class ReplayAnswer(
        val requestNumber: Long,
        val status: Int,
        val contentType: String,
        val body: ByteArray?,
    ) : EntryEffect

    /**
     * The stream already has bytes at the caller and cannot go on: end it with an explicit error event. It has no
     * effect on an answer that is whole by now.
     */
    data class AbortStream(
        val requestNumber: Long,
        val reason: String,
    ) : EntryEffect

    data class SendToControl(
        val message: EntryToControl,
    ) : EntryEffect

    /** Send to all linked entries of the zone, or to the one named in [recipient]. */
    data class SendToZone(
        val message: ZoneMessage,
        val recipient: String? = null,
    ) : EntryEffect

    data class ProbeUpstream(
        val upstream: String,
        val address: String,
    ) : EntryEffect

    /** The configuration in force changed: traffic threads authenticate and route with it from now on. */
    data class ConfigurationApplied(
        val version: Long,
        val configuration: Configuration,
    ) : EntryEffect

    data class ReadinessChanged(
        val ready: Boolean,
        val reason: String,
    ) : EntryEffect

    /**
     * Nothing is in flight after a requested stop. The process refuses requests that it has not handed over yet with
     * [Refusal.Stopping] and flushes what it has written before it exits.
     */
    data object Terminate : EntryEffect

    data class RecordEvent(
        val event: EventCode,
        val fields: Map<String, Any?>,
    ) : EntryEffect

    data class Measure(
        val measurement: Measurement,
    ) : EntryEffect
}

enum class CancelReason { CALLER_LEFT, PREEMPTED, SUPERSEDED, DEADLINE }

/** Bounds on silence of one upstream exchange, in milliseconds. */
data class UpstreamTimeouts(
    val connect: Long,
    val firstByte: Long,
    val betweenBytes: Long,
)

/** Where an engine resumes a broken stream: its token for the stream and the bytes that already reached the caller. */
data class ResumePoint(
    val brokenAttemptNumber: Long,
    val bytesDelivered: Long,
)
