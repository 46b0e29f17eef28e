package hawthorncrank.entry.core

import hawthorncrank.common.EventCode
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ZoneMessage

/** What the entry process must do after a reduction, in order. */
sealed interface EntryEffect {
    /**
     * Send the request [requestNumber] to [upstream]. From now on only the bytes of this attempt may reach the caller.
     * If bytes of another attempt have already reached the caller and [resume] is null, nothing is sent and the attempt
     * ends as [AttemptEnd.Cancelled]; an [AbortStream] follows. With a [claimNumber] the answer is withheld until
     * [ReleaseAnswer]. With [freshConnection] the request is sent only on a connection that is new or was used in the
     * last 2 s, and with [newConnection] only on a new one. With [relayed], [upstream] is another entry, which gets the
     * request as the caller sent it.
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
        val newConnection: Boolean = false,
        val relayed: Boolean = false,
    ) : EntryEffect

    /** Stop the attempt upstream and discard whatever it still sends. */
    data class CancelAttempt(
        val attemptNumber: Long,
        val reason: CancelReason,
    ) : EntryEffect

    /** Send the withheld answer to the caller. [recorded] is false if the record of a claimed call is still pending. */
    data class ReleaseAnswer(
        val requestNumber: Long,
        val recorded: Boolean,
    ) : EntryEffect

    /**
     * Read the request again under the configuration in force and report its arrival anew. It was read under another
     * version and is not known to the control thread yet.
     */
    data class ReadRequestAgain(
        val requestNumber: Long,
    ) : EntryEffect

    /** Answer the caller with a refusal or an error. No byte from an upstream has reached the caller. */
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
     * End a stream with an explicit error event, because the caller already received part of it and it cannot continue.
     * This has no effect on an answer that is already complete.
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

    /** Read the platform's list regularly from now on, or no longer. */
    data class PollUpstreamList(
        val enabled: Boolean,
    ) : EntryEffect

    data class ProbeUpstream(
        val upstream: String,
        val address: String,
    ) : EntryEffect

    /** The configuration in force changed. Traffic threads authenticate and route with it from now on. */
    data class ConfigurationApplied(
        val version: Long,
        val configuration: Configuration,
    ) : EntryEffect

    data class ReadinessChanged(
        val ready: Boolean,
        val reason: String,
    ) : EntryEffect

    /**
     * New requests are refused from now on because of a stop. Closing a connection without a request sends its caller to
     * another entry at once; the others are closed after their answer.
     */
    data object CloseIdleConnections : EntryEffect

    /**
     * No request is in flight after a requested stop. Requests that still arrive are refused with [Refusal.Stopping];
     * the process exits when no caller is connected any more.
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

/** Timeouts of one upstream exchange, in milliseconds. */
data class UpstreamTimeouts(
    val connect: Long,
    val firstByte: Long,
    val betweenBytes: Long,
)

/**
 * Where an engine resumes a broken stream: the broken attempt, which supplies the engine's resume token, and the number
 * of bytes that already reached the caller.
 */
data class ResumePoint(
    val brokenAttemptNumber: Long,
    val bytesDelivered: Long,
)
