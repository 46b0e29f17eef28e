package hawthorncrank.entry.internal

import io.netty.handler.codec.http.HttpMethod

/**
 * The part of a caller's request that the traffic threads keep: what each attempt sends. [idempotent] calls are answered
 * as soon as the upstream has answered; others wait until their outcome is recorded.
 */
internal class OutgoingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: List<Pair<String, String>>,
    val idempotent: Boolean,
    val streamed: Boolean,
    val body: (priority: Int, resume: StreamResume?) -> ByteArray,
)
