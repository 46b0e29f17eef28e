package hawthorncrank.entry.core

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.ZoneMessage

/** The input of the entry's decisions, sent to the control thread by traffic threads and links. */
sealed interface EntryEvent {
    /** A caller's request passed authentication and size checks. Its body stays with the traffic threads. */
    data class RequestArrived(
        val request: CallerRequest,
    ) : EntryEvent

    data class CallerLeft(
        val requestNumber: Long,
    ) : EntryEvent

    /** The caller has received the complete answer. */
    data class AnswerDelivered(
        val requestNumber: Long,
    ) : EntryEvent

    /**
     * The first byte of the answer arrived from the upstream. [failed] is set if the answer is a server error. [accepted]
     * tells whether the upstream began to run the request.
     */
    data class AttemptFirstByte(
        val attemptNumber: Long,
        val failed: Boolean = false,
        val accepted: Boolean = true,
    ) : EntryEvent

    /** Sent at most every 250 ms. Values are totals since the start of the attempt. */
    data class AttemptProgress(
        val attemptNumber: Long,
        val tokens: Int,
        val bytes: Long,
    ) : EntryEvent

    data class AttemptEnded(
        val attemptNumber: Long,
        val end: AttemptEnd,
    ) : EntryEvent

    /** An upstream reported its load, in a response or when polled. */
    data class LoadReported(
        val upstream: String,
        val report: LoadReport,
    ) : EntryEvent

    data class CacheChanged(
        val upstream: String,
        val change: CacheChange,
    ) : EntryEvent

    /** The platform's membership list, which may be out of date. [live] and [leaving] hold upstream names. */
    data class MembershipReported(
        val live: Set<String>,
        val leaving: Set<String>,
    ) : EntryEvent

    /** The platform's list where it defines the upstreams themselves. It replaces the previous list. */
    data class UpstreamsListed(
        val upstreams: List<ListedUpstream>,
    ) : EntryEvent

    /** The upstream at [address] said in the head of an answer that it is leaving. */
    data class UpstreamAnnouncedLeaving(
        val upstream: String,
        val address: String,
    ) : EntryEvent

    /** The result of probing an upstream that was excluded. */
    data class ProbeAnswered(
        val upstream: String,
        val reachable: Boolean,
    ) : EntryEvent

    data class ControlMessageReceived(
        val message: ControlToEntry,
    ) : EntryEvent

    data class ZoneMessageReceived(
        val message: ZoneMessage,
    ) : EntryEvent

    data object ControlLinkOpened : EntryEvent

    data object ControlLinkClosed : EntryEvent

    /** SIGTERM: finish the requests in flight and accept no new ones. */
    data object StopRequested : EntryEvent

    /** The machine may have been suspended for so long, which the time of the events does not include. */
    data class MachineSuspended(
        val milliseconds: Long,
    ) : EntryEvent

    /** Sent every 100 ms. */
    data object Tick : EntryEvent
}
