package hawthorncrank.entry.internal

import hawthorncrank.common.EventLog
import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.core.StatedOutcome
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.RECORDED_BODY_LIMIT_BYTES
import io.netty.channel.EventLoop
import reactor.core.publisher.Mono
import reactor.core.publisher.Sinks
import reactor.core.scheduler.Schedulers
import java.security.MessageDigest

/**
 * One caller's request on the traffic threads. Its state belongs to [loop], the event loop of the caller's connection;
 * the control thread's effects are handed over to it. Bytes reach the caller from the current attempt only.
 */
internal class Exchange(
    val number: Long,
    private val request: OutgoingRequest,
    private val loop: EventLoop,
    private val traffic: Traffic,
    private val log: EventLog,
) {
    private val answered = Sinks.one<CallerAnswer>()
    private var current: Attempt? = null
    private var held: CallerAnswer.Whole? = null
    private var relay: StreamRelay? = null
    private var resumeToken: String? = null
    private var answerStarted = false
    private var lastEventIdentifier: String? = null

    val streamed: Boolean get() = request.streamed
    val framing: StreamFraming get() = request.form.framing
    val answer: Mono<CallerAnswer> get() = answered.asMono()

    /** Called on the control thread, so that a later cancellation finds the attempt whatever the event loop has done. */
    fun start(effect: EntryEffect.StartAttempt) {
        val attempt = Attempt(effect, this, loop, traffic.now, traffic.report)
        traffic.register(attempt, this)
        loop.execute { run(attempt) }
    }

    fun cancel(attempt: Attempt) = loop.execute { attempt.cancelByOrder() }

    /** Lets the held answer of a recorded call go, or of one whose record is still pending. */
    fun release(recorded: Boolean) =
        loop.execute {
            val answer = held ?: return@execute
            val pending = if (recorded) emptyList() else listOf(RECORDED_HEADER to "pending")
            deliver(CallerAnswer.Whole(answer.status, answer.headers + pending, answer.body))
        }

    /** Answers with [answer], or ends a stream that has begun with its reason. */
    fun refuse(
        answer: CallerAnswer.Whole,
        reason: String,
    ) = loop.execute { relay?.let { end(it, reason) } ?: deliver(answer) }

    /** Ends a stream that has begun with an error event, and answers 502 where nothing has reached the caller. */
    fun breakStream(reason: String) = refuse(refusalAnswer(Refusal.Interrupted), reason)

    fun replay(answer: CallerAnswer.Whole) = loop.execute { deliver(answer) }

    /** A stream's first event arrived. On a resumed stream the caller's answer goes on. */
    fun streamBegun(attempt: Attempt) {
        if (attempt !== current) return
        resumeToken = attempt.resumeToken
        val existing = relay
        val relay = existing ?: StreamRelay(loop).also { relay = it }
        relay.connect(attempt::pull)
        if (existing ==
            null
        ) {
            deliver(CallerAnswer.Stream(request.form.streamHeaders(attempt.answerHeaders), relay.body))
        }
    }

    fun streamed(
        attempt: Attempt,
        events: ByteArray,
    ) {
        if (attempt !== current) return
        lastEventIdentifier = attempt.lastEventIdentifier ?: lastEventIdentifier
        relay?.next(events)
    }

    fun streamCompleted(
        attempt: Attempt,
        remainder: ByteArray,
    ) {
        if (attempt === current) relay?.complete(remainder)
    }

    /** The upstream answered whole. A non-idempotent answer waits here until the control thread lets it go. */
    fun completed(
        attempt: Attempt,
        whole: WholeAnswer,
    ) {
        val headers = forwardedHeaders(whole.headers) + (OUTCOME_HEADER to StatedOutcome.RAN.headerValue)
        val answer = CallerAnswer.Whole(whole.status, headers, whole.body)
        val currentAttempt = attempt === current
        // A stream that was to go on got another answer instead.
        if (relay != null) return attempt.end(AttemptEnd.Broken(0, 0))
        val waits =
            when (request.form.release) {
                AnswerRelease.AT_ONCE -> false
                AnswerRelease.WHEN_RECORDED -> !request.idempotent
                AnswerRelease.FAILURES_WHEN_DECIDED -> whole.status >= HTTP_SERVER_ERROR
            }
        if (currentAttempt && waits) held = answer
        val record = if (request.form.release == AnswerRelease.WHEN_RECORDED && waits) outcome(whole) else null
        attempt.end(AttemptEnd.Completed(whole.status, generatedTokens(whole), whole.body.size.toLong(), record))
        if (currentAttempt && !waits) deliver(answer)
    }

    fun classifyReply(head: UpstreamSignal.Head): UpstreamReply = request.form.classifyReply(head.status, head.headers)

    fun attemptFailed(
        attempt: Attempt,
        failure: Throwable,
    ) = log.record(
        EntryEventCode.ATTEMPT_FAILED,
        "request" to number,
        "attempt" to attempt.number,
        "upstream" to attempt.effect.upstream,
        "error" to failure,
    )

    fun attemptEnded(attempt: Attempt) = traffic.remove(attempt)

    fun callerLeft() {
        traffic.report(EntryEvent.CallerLeft(number))
        traffic.forget(this)
    }

    fun delivered() {
        traffic.report(EntryEvent.AnswerDelivered(number))
        traffic.forget(this)
    }

    private fun run(attempt: Attempt) {
        current = attempt
        relay?.disconnect()
        val token = resumeToken
        val begun = relay
        val mayResume = attempt.effect.resume != null
        val resume = if (mayResume && token != null) StreamResume(token, begun?.bytes ?: 0) else null
        val resumesByEvent = mayResume && lastEventIdentifier != null && framing == StreamFraming.NumberedEvents
        if (resume == null && !resumesByEvent && answerStarted) {
            // Another attempt's answer must not follow bytes that the caller already has.
            begun?.let { end(it, "the stream cannot be resumed") }
            return attempt.end(AttemptEnd.NotConnected)
        }
        val body = request.body(attempt.effect.priority, resume)
        traffic.client
            .exchange(attempt.effect, request, AttemptContent(body, lastEventIdentifier)) { attempt.sent = true }
            .publishOn(Schedulers.fromExecutor(loop), RECEIVE_AHEAD)
            .subscribe(attempt)
    }

    private fun end(
        stream: StreamRelay,
        reason: String,
    ) {
        val event = request.form.errorEvent
        if (event == null) stream.abort(reason) else stream.complete(event(reason))
    }

    private fun deliver(answer: CallerAnswer) {
        if (answerStarted) return
        answerStarted = true
        answered.tryEmitValue(answer)
    }

    private fun outcome(whole: WholeAnswer) =
        CallOutcome.Answered(
            status = whole.status,
            contentType = whole.headers.get(CONTENT_TYPE, "application/octet-stream"),
            body = whole.body.takeIf { it.size <= RECORDED_BODY_LIMIT_BYTES },
            bodyDigest = MessageDigest.getInstance("SHA-256").digest(whole.body).toHex(),
        )

    private companion object {
        const val RECEIVE_AHEAD = 4
    }
}
