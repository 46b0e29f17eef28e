package hawthorncrank.entry.internal

import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.core.EntryEffect
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** The part of a caller's request that the traffic threads keep: what each attempt sends. */
internal class OutgoingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: List<Pair<String, String>>,
    val idempotent: Boolean,
    val streamed: Boolean,
    val form: ExchangeForm,
    val body: (priority: Int, resume: StreamResume?) -> ByteArray,
)

/**
 * How the exchanges of one interface are written and read. [attemptHeaders] gives what one attempt adds, with the last
 * event that the caller has; [streamHeaders] what a streamed answer begins with at the caller. [errorEvent] is null where a
 * broken stream ends with its connection. Streams end with their [framing].
 */
internal class ExchangeForm(
    val attemptHeaders: (EntryEffect.StartAttempt, lastEventIdentifier: String?) -> List<Pair<String, String>>,
    val classifyReply: (status: Int, headers: HttpHeaders) -> UpstreamReply,
    val framing: StreamFraming,
    val streamHeaders: (HttpHeaders) -> List<Pair<String, String>>,
    val errorEvent: ((reason: String) -> ByteArray)?,
    val release: AnswerRelease,
)

/** When a whole answer goes to the caller. */
internal enum class AnswerRelease {
    AT_ONCE,

    /** A call under a claim: when its outcome is recorded. */
    WHEN_RECORDED,

    /** A failure of the upstream waits for the decision whether another one is tried. */
    FAILURES_WHEN_DECIDED,
}
