package hawthorncrank.entry.internal

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import hawthorncrank.common.EventLog
import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.Refusal
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.RECORDED_BODY_LIMIT_BYTES
import io.netty.channel.EventLoop
import reactor.core.publisher.Mono
import reactor.core.publisher.Sinks
import reactor.core.scheduler.Schedulers
import java.security.MessageDigest
import java.util.concurrent.TimeUnit

/**
 * One caller's request and its answer. Its state is confined to [loop], the event loop of the caller's connection;
 * effects of the control thread are dispatched to that loop. Only bytes of the current attempt reach the caller.
 * [closeConnection] closes the caller's connection. [read] reads the request under the configuration in force.
 */
internal class Exchange(
    private var parsed: ParsedRequest,
    private val read: () -> Mono<Result<ParsedRequest, CallerAnswer.Complete>>,
    private val loop: EventLoop,
    private val activeExchanges: ActiveExchanges,
    private val log: EventLog,
    private val closeConnection: () -> Unit,
) {
    val number: Long = parsed.callerRequest.number
    private val request: OutgoingRequest get() = parsed.outgoing
    private val answered = Sinks.one<CallerAnswer>()
    private var current: Attempt? = null
    private var heldAnswer: CallerAnswer.Complete? = null
    private var relay: StreamRelay? = null
    private var resumeToken: String? = null
    private var answerStarted = false
    private var lastEventIdentifier: String? = null

    // The stream has an event that the caller lacks, as an attempt that broke off has shown.
    private var lacksEvent = false
    private var endMarkerPassed = false

    /** Written on [loop]. */
    @Volatile var callerGone = false
        private set

    val streamed: Boolean get() = request.streamed
    val framing: StreamFraming get() = request.format.framing

    /** The identifier of the last event that the caller has, from this answer or from an earlier one. */
    val precedingEventIdentifier: String? get() = lastEventIdentifier ?: request.resumesAfter

    /** Whether the caller may have all events of the stream, so that an empty rest completes it. */
    val mayHaveAllEvents: Boolean
        get() =
            when (framing) {
                StreamFraming.CompletionEvents -> endMarkerPassed
                StreamFraming.NumberedEvents -> !lacksEvent
            }
    val answer: Mono<CallerAnswer> get() = answered.asMono()

    /** Called on the control thread: registers the attempt at once, so that a later cancellation always finds it. */
    fun start(effect: EntryEffect.StartAttempt) {
        val attempt = Attempt(effect, this, loop, activeExchanges.now, activeExchanges.budget, activeExchanges.report)
        activeExchanges.register(attempt, this)
        // Lets the loop read what has arrived before the request is sent: the caller may have closed its connection while
        // this process lacked processor time.
        loop.schedule({ run(attempt) }, SHORTEST_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /** Reads the request again and reports its arrival, or delivers the rejection. No attempt was started yet. */
    fun readAgain() =
        loop.execute {
            if (callerGone) return@execute
            read()
                .publishOn(Schedulers.fromExecutor(loop))
                .subscribe({ it.fold(success = ::arrivedAgain, failure = ::deliver) }, ::readingFailed)
        }

    private fun arrivedAgain(parsed: ParsedRequest) {
        if (callerGone) return
        this.parsed = parsed
        activeExchanges.report(EntryEvent.RequestArrived(parsed.callerRequest))
    }

    private fun readingFailed(failure: Throwable) {
        log.record(EntryEventCode.EXCHANGE_FAILED, "request" to number, "error" to failure)
        deliver(refusalAnswer(Refusal.NotProcessed))
    }

    fun cancel(attempt: Attempt) = loop.execute { attempt.cancelByControl() }

    /** Sends the held answer. If the outcome is not yet [recorded], a header tells the caller that it is pending. */
    fun release(recorded: Boolean) =
        loop.execute {
            val answer = heldAnswer ?: return@execute
            val pending = if (recorded) emptyList() else listOf(RECORDED_HEADER to "pending")
            deliver(CallerAnswer.Complete(answer.status, answer.headers + pending, answer.body))
        }

    /** Sends [answer] to the caller. If a stream has already begun, ends it instead and states [reason]. */
    fun refuse(
        answer: CallerAnswer.Complete,
        reason: String,
    ) = loop.execute { relay?.let { end(it, reason) } ?: deliver(answer) }

    /**
     * Ends a stream that has already begun, with an error event or by closing the connection. Answers 502 if nothing has
     * been sent to the caller.
     */
    fun breakStream(reason: String) = refuse(refusalAnswer(Refusal.Interrupted), reason)

    fun replay(answer: CallerAnswer.Complete) = loop.execute { deliver(answer) }

    /** Handles the first event of a stream. A resumed stream continues the answer that has already begun. */
    fun streamBegun(attempt: Attempt) {
        if (attempt !== current) return
        resumeToken = attempt.resumeToken
        val existing = relay
        val relay = existing ?: StreamRelay(loop).also { relay = it }
        relay.connect(attempt::pull)
        if (existing ==
            null
        ) {
            deliver(CallerAnswer.Stream(request.format.streamHeaders(attempt.answerHeaders), relay.body))
        }
    }

    fun streamed(
        attempt: Attempt,
        events: ByteArray,
    ) {
        if (attempt !== current) return
        lastEventIdentifier = attempt.lastEventIdentifier ?: lastEventIdentifier
        endMarkerPassed = attempt.mayEnd
        relay?.next(events)
    }

    fun streamCompleted(
        attempt: Attempt,
        remainder: ByteArray,
    ) {
        if (attempt !== current) return
        if (relay == null) streamBegun(attempt)
        relay?.complete(remainder)
    }

    /** Handles a complete answer. Depending on [AnswerRelease], it is held until the control thread releases it. */
    fun completed(
        attempt: Attempt,
        received: CompleteAnswer,
    ) {
        val headers = forwardedHeaders(received.headers) + (OUTCOME_HEADER to received.outcome.headerValue)
        val answer = CallerAnswer.Complete(received.status, headers, received.body)
        val isCurrent = attempt === current
        // The stream was to be resumed, but the upstream sent an answer that is not a stream.
        if (relay != null) return attempt.end(AttemptEnd.Broken(0, 0))
        val waits =
            when (sentBy(attempt).format.release) {
                AnswerRelease.AT_ONCE -> false
                AnswerRelease.WHEN_RECORDED -> !request.idempotent
                AnswerRelease.FAILURES_WHEN_DECIDED -> received.status >= HTTP_SERVER_ERROR
            }
        if (isCurrent && waits) heldAnswer = answer
        val record = if (request.format.release == AnswerRelease.WHEN_RECORDED && waits) outcome(received) else null
        attempt.end(
            AttemptEnd.Completed(
                received.status,
                generatedTokens(received),
                received.body.size.toLong(),
                record,
                attempt.accepted,
            ),
        )
        if (isCurrent && !waits) deliver(answer)
    }

    /** Whether the caller already has the events before the ones that [attempt] asks for. */
    fun resumes(attempt: Attempt): Boolean = request.resumesAfter != null || attempt.effect.resume != null

    fun classifyReply(
        attempt: Attempt,
        head: UpstreamSignal.Head,
    ): UpstreamReply = sentBy(attempt).format.classifyReply(head.status, head.headers)

    fun announcesLeaving(
        attempt: Attempt,
        head: UpstreamSignal.Head,
    ): Boolean = sentBy(attempt).format.announcesLeaving(head.headers)

    /** The form of the request that the attempt sends. */
    private fun sentBy(attempt: Attempt): OutgoingRequest =
        if (attempt.effect.relayed) checkNotNull(parsed.relayed) else parsed.outgoing

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

    fun answerNotUsed(
        attempt: Attempt,
        status: Int,
        reason: String,
    ) = log.record(
        EntryEventCode.ANSWER_NOT_USED,
        "request" to number,
        "attempt" to attempt.number,
        "upstream" to attempt.effect.upstream,
        "status" to status,
        "reason" to reason,
    )

    fun streamEndedInsideEvent(
        attempt: Attempt,
        unfinishedBytes: Int,
    ) = log.record(
        EntryEventCode.STREAM_ENDED_INSIDE_EVENT,
        "request" to number,
        "attempt" to attempt.number,
        "upstream" to attempt.effect.upstream,
        "delimited_by" to bodyDelimiter(attempt.answerHeaders).name.lowercase(),
        "unfinished_bytes" to unfinishedBytes,
    )

    fun attemptEnded(attempt: Attempt) {
        if (attempt === current) lacksEvent = attempt.brokeOffBeforeEvent || lacksEvent && !attempt.passedEvents
        activeExchanges.remove(attempt)
    }

    fun callerLeft() {
        callerGone = true
        activeExchanges.report(EntryEvent.CallerLeft(number))
        activeExchanges.remove(this)
    }

    fun delivered() {
        activeExchanges.report(EntryEvent.AnswerDelivered(number))
        activeExchanges.remove(this)
    }

    private fun run(attempt: Attempt) {
        if (attempt.ended) return
        current = attempt
        relay?.disconnect()
        val token = resumeToken
        val existing = relay
        val mayResume = attempt.effect.resume != null
        val resume = if (mayResume && token != null) StreamResume(token, existing?.bytes ?: 0) else null
        val resumesByEvent = mayResume && lastEventIdentifier != null && framing == StreamFraming.NumberedEvents
        if (resume == null && !resumesByEvent && answerStarted) {
            // The answer of another attempt must not follow bytes that the caller already has.
            existing?.let { end(it, "the stream cannot be resumed") }
            return attempt.end(AttemptEnd.NotConnected)
        }
        val sent = sentBy(attempt)
        val body = sent.body(attempt.effect.priority, resume)
        activeExchanges.client
            .exchange(attempt.effect, sent, AttemptContent(body, lastEventIdentifier), attempt.gate)
            .publishOn(Schedulers.fromExecutor(loop), PREFETCHED_SIGNALS)
            .subscribe(attempt)
    }

    private fun end(
        stream: StreamRelay,
        reason: String,
    ) {
        val event = request.format.errorEvent
        if (event == null) stream.abort(reason) else stream.complete(event(reason))
        loop.schedule(::closeIfUnread, LAST_BYTES_LIMIT_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /** The end of a stream waits behind bytes that its caller has not read, for ever if it reads none. */
    private fun closeIfUnread() {
        if (activeExchanges.exchange(number) === this) closeConnection()
    }

    private fun deliver(answer: CallerAnswer) {
        if (answerStarted) return
        answerStarted = true
        answered.tryEmitValue(answer)
    }

    private fun outcome(received: CompleteAnswer) =
        CallOutcome.Answered(
            status = received.status,
            contentType = received.headers.get(CONTENT_TYPE, "application/octet-stream"),
            body = received.body.takeIf { it.size <= RECORDED_BODY_LIMIT_BYTES },
            bodyDigest = MessageDigest.getInstance("SHA-256").digest(received.body).toHex(),
        )

    private companion object {
        const val PREFETCHED_SIGNALS = 4
        const val SHORTEST_DELAY_MILLISECONDS = 1L
        const val LAST_BYTES_LIMIT_MILLISECONDS = 1_000L
    }
}
