package hawthorncrank.entry.core

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.ZoneMessage

/** Everything that the entry's control thread decides on. Traffic threads and links send these. */
sealed interface EntryEvent {
    /** A caller's request passed authentication and size checks. Its body stays with the traffic threads. */
    data class RequestArrived(
        val request: CallerRequest,
    ) : EntryEvent

    data class CallerLeft(
        val requestNumber: Long,
    ) : EntryEvent

    /** The caller has received the whole answer. */
    data class AnswerDelivered(
        val requestNumber: Long,
    ) : EntryEvent

    /** The first byte of the answer arrived from the upstream. */
    data class AttemptFirstByte(
        val attemptNumber: Long,
    ) : EntryEvent

    /** Sent at most every 250 ms. Totals since the start of the attempt. */
    data class AttemptProgress(
        val attemptNumber: Long,
        val tokens: Int,
        val bytes: Long,
    ) : EntryEvent

    data class AttemptEnded(
        val attemptNumber: Long,
        val end: AttemptEnd,
    ) : EntryEvent

    /** Load that an upstream reported, on a response or when polled. */
    data class LoadReported(
        val upstream: String,
        val report: LoadReport,
    ) : EntryEvent

    data class CacheChanged(
        val upstream: String,
        val change: CacheChange,
    ) : EntryEvent

    /** The platform's membership list, which lags. [live] and [leaving] hold upstream names. */
    data class MembershipReported(
        val live: Set<String>,
        val leaving: Set<String>,
    ) : EntryEvent

    /** The platform's list where it names the upstreams themselves. It replaces the one before. */
    data class UpstreamsListed(
        val upstreams: List<ListedUpstream>,
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

    /** SIGTERM: finish what is in flight, accept nothing new. */
    data object StopRequested : EntryEvent

    /** Sent every 100 ms. */
    data object Tick : EntryEvent
}
