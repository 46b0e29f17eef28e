package hawthorncrank.entry.internal

import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.core.EntryEffect
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * The part of a caller's request that each attempt sends to an upstream. [resumesAfter] identifies the last event
 * that the caller has received if it asks for the rest of a stream.
 */
internal class OutgoingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: List<Pair<String, String>>,
    val idempotent: Boolean,
    val streamed: Boolean,
    val format: ExchangeFormat,
    val resumesAfter: String? = null,
    val body: (priority: Int, resume: StreamResume?) -> ByteArray,
)

/**
 * How requests and answers of one API are written and read. [attemptHeaders] returns the headers that one attempt adds;
 * its last argument identifies the last event that the caller received. [streamHeaders] returns the headers of a
 * streamed answer to the caller. [errorEvent] is null where a broken stream ends by closing the connection. [framing]
 * defines how a complete stream ends.
 */
internal class ExchangeFormat(
    val attemptHeaders: (EntryEffect.StartAttempt, lastEventIdentifier: String?) -> List<Pair<String, String>>,
    val classifyReply: (status: Int, headers: HttpHeaders) -> UpstreamReply,
    val announcesLeaving: (HttpHeaders) -> Boolean,
    val framing: StreamFraming,
    val streamHeaders: (HttpHeaders) -> List<Pair<String, String>>,
    val errorEvent: ((reason: String) -> ByteArray)?,
    val release: AnswerRelease,
)

/** When a complete answer that is not streamed is sent to the caller. */
internal enum class AnswerRelease {
    AT_ONCE,

    /** The answer of a non-idempotent call, which runs under a claim, is sent when its outcome is recorded. */
    WHEN_RECORDED,

    /** A failure of the upstream is held until the entry has decided whether to try another upstream. */
    FAILURES_WHEN_DECIDED,
}
