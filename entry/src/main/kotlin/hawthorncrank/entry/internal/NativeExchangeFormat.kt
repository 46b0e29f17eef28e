package hawthorncrank.entry.internal

import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.StatedOutcome
import hawthorncrank.entry.readRetryAfter
import io.netty.handler.codec.http.HttpHeaders

/** The exchange format of the product's own API: chat completions and calls of plain services. */
internal fun nativeExchangeFormat(): ExchangeFormat =
    ExchangeFormat(
        attemptHeaders = ::nativeAttemptHeaders,
        classifyReply = ::classifyNativeReply,
        announcesLeaving = { false },
        framing = StreamFraming.CompletionEvents,
        streamHeaders = { STREAM_HEADERS },
        errorEvent = ::errorEvent,
        release = AnswerRelease.WHEN_RECORDED,
    )

private fun nativeAttemptHeaders(
    attempt: EntryEffect.StartAttempt,
    @Suppress("UNUSED_PARAMETER") lastEventIdentifier: String?,
): List<Pair<String, String>> =
    listOfNotNull(
        attempt.claimNumber?.let { CLAIM_HEADER to it.toString() },
        attempt.deadlineMilliseconds?.let { DEADLINE_HEADER to it.toString() },
    )

private fun classifyNativeReply(
    status: Int,
    headers: HttpHeaders,
): UpstreamReply {
    val rejected =
        status == HTTP_UNAVAILABLE || (status == HTTP_TOO_MANY_REQUESTS && headers.contains(RETRY_AFTER))
    return if (rejected) UpstreamReply.Rejected(readRetryAfter(headers.get(RETRY_AFTER))) else UpstreamReply.Accepted
}

private val STREAM_HEADERS =
    listOf(
        CONTENT_TYPE to "text/event-stream",
        "Cache-Control" to "no-cache",
        OUTCOME_HEADER to StatedOutcome.RAN.headerValue,
    )
