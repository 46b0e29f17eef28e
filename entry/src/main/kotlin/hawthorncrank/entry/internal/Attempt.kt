package hawthorncrank.entry.internal

import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.StatedOutcome
import hawthorncrank.entry.core.TimeoutPhase
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaders
import io.netty.util.concurrent.ScheduledFuture
import org.reactivestreams.Subscription
import reactor.core.publisher.BaseSubscriber
import reactor.core.publisher.Mono
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/**
 * One attempt to get an answer from an upstream. It runs on [loop], reports to the control thread and passes its answer
 * to [owner], which ignores it unless this is the current attempt. Its timeout runs only while the attempt waits
 * for the upstream, not while the caller is slow.
 */
internal class Attempt(
    val effect: EntryEffect.StartAttempt,
    private val owner: Exchange,
    private val loop: EventLoop,
    private val now: () -> Long,
    budget: AnswerBudget,
    private val report: (EntryEvent) -> Unit,
) : BaseSubscriber<UpstreamSignal>() {
    private val framer by lazy(LazyThreadSafetyMode.NONE) { EventFramer(owner.framing, owner.precedingEventIdentifier) }
    private val share = budget.share(effect.priority) { loop.execute(::cutOff) }
    private var collected = ByteArrayOutputStream()
    private var head: UpstreamSignal.Head? = null
    private var outcomeUnknown = false
    private var streaming = false
    private var firstByteSeen = false
    private var receivedBytes = 0L
    private var lastProgress = 0L
    private var waitingSince: Long? = null
    private var wanted = 0L
    private var timeoutCheck: ScheduledFuture<*>? = null
    var ended = false
        private set

    private val decidedAt = now()

    // Written on the event loop of the connection to the upstream.
    @Volatile private var sent = false

    val number: Long get() = effect.attemptNumber
    var resumeToken: String? = null
        private set
    val answerHeaders: HttpHeaders get() = checkNotNull(head).headers
    val lastEventIdentifier: String? get() = framer.lastEventIdentifier

    /** Whether the stream may end after what was received. */
    val mayEnd: Boolean get() = framer.done

    /** Whether the upstream began to run the request. Behind a stream, only events show that. */
    val accepted: Boolean get() = !outcomeUnknown && (streaming || !owner.streamed)

    /** Whether events of the stream were passed to the caller. */
    val passedEvents: Boolean get() = streaming && firstByteSeen

    /** Whether what was received shows that the stream has a further event, which did not arrive in full. */
    val brokeOffBeforeEvent: Boolean
        get() = streaming && framer.fault == null && (framer.unfinishedBytes > 0 || receivedBytes < announcedBytes())

    /** Requests [count] more chunks from the upstream. */
    fun pull(count: Long) {
        if (wanted == 0L) waitingSince = now()
        wanted += count
        request(count)
    }

    /** Between the decision on an attempt and its sending, the process may have lacked processor time. */
    val gate = SendingGate(Mono.defer(::settled), ::beginSending)

    /** If the process is behind, lets the event loop read once more, so that it sees whether the caller has left. */
    private fun settled(): Mono<Void> {
        if (now() - decidedAt < BEHIND_MILLISECONDS) return Mono.empty()
        return Mono.create { sink -> loop.schedule({ sink.success() }, 1, TimeUnit.MILLISECONDS) }
    }

    private fun beginSending(): Long? {
        if (owner.callerGone) throw SendingPointless(AttemptEnd.Cancelled(0))
        val timeLeft = effect.deadlineMilliseconds?.let { it - (now() - decidedAt) }
        if (timeLeft != null && timeLeft <= 0) throw SendingPointless(AttemptEnd.Expired)
        sent = true
        return timeLeft
    }

    fun cancelByControl() {
        end(AttemptEnd.Cancelled(framer.tokens))
        cancel()
    }

    override fun hookOnSubscribe(subscription: Subscription) {
        pull(1)
        checkTimeout()
    }

    override fun hookOnNext(value: UpstreamSignal) {
        if (ended) return
        wanted = (wanted - 1).coerceAtLeast(0)
        waitingSince = if (wanted == 0L) null else now()
        when (value) {
            is UpstreamSignal.Head -> begin(value)
            is UpstreamSignal.Chunk -> receive(value.bytes)
        }
    }

    override fun hookOnComplete() {
        if (ended) return
        if (streaming && framer.unfinishedBytes > 0) owner.streamEndedInsideEvent(this, framer.unfinishedBytes)
        when {
            !streaming -> owner.completed(this, if (outcomeUnknown) unstatedOutcome() else completeAnswer())
            mayEnd || nothingWasLeft() -> {
                end(AttemptEnd.Completed(HTTP_OK, framer.tokens, receivedBytes, null, accepted = receivedBytes > 0))
                owner.streamCompleted(this, framer.remainder())
            }
            // A stream that may not end here is incomplete, even if the connection was closed cleanly.
            else -> end(AttemptEnd.Broken(framer.tokens, receivedBytes))
        }
    }

    override fun hookOnError(throwable: Throwable) {
        if (ended) return
        if (throwable is SendingPointless) return end(throwable.end)
        owner.attemptFailed(this, throwable)
        end(if (sent) AttemptEnd.Broken(framer.tokens, receivedBytes) else AttemptEnd.NotConnected)
    }

    /** Reports the end of the attempt once. Anything that arrives later is discarded. */
    fun end(end: AttemptEnd) {
        if (ended) return
        ended = true
        share.release()
        timeoutCheck?.cancel(false)
        owner.attemptEnded(this)
        report(EntryEvent.AttemptEnded(number, end))
    }

    private fun begin(arrived: UpstreamSignal.Head) {
        head = arrived
        parseLoad(arrived.headers.get(LOAD_HEADER))?.let { report(EntryEvent.LoadReported(effect.upstream, it)) }
        val reply = owner.classifyReply(this, arrived)
        val answeredByUpstream = reply != UpstreamReply.Misdirected && reply != UpstreamReply.Mismatched
        if (answeredByUpstream && owner.announcesLeaving(this, arrived)) {
            report(EntryEvent.UpstreamAnnouncedLeaving(effect.upstream, effect.address))
        }
        when (reply) {
            UpstreamReply.Accepted -> Unit
            UpstreamReply.OutcomeUnknown -> {
                owner.answerNotUsed(this, arrived.status, "outcome_unknown")
                outcomeUnknown = true
            }
            is UpstreamReply.Rejected ->
                return endNotRun(rejected(arrived.status, reply.retryAfterMilliseconds), arrived)
            UpstreamReply.Misdirected -> return endNotRun(AttemptEnd.Misdirected, arrived)
            UpstreamReply.Mismatched -> {
                owner.answerNotUsed(this, arrived.status, "mismatched")
                end(AttemptEnd.Broken(0, 0))
                return cancel()
            }
        }
        resumeToken = arrived.headers.get(RESUME_TOKEN_HEADER)
        streaming = owner.streamed && arrived.status == HTTP_OK && mayBeStream(arrived.headers.get(CONTENT_TYPE))
        pull(if (streaming) 1 else Long.MAX_VALUE)
    }

    /** An answer without a type is the stream that the caller asked for. */
    private fun mayBeStream(contentType: String?): Boolean =
        contentType == null || contentType.startsWith(EVENT_STREAM, ignoreCase = true)

    /**
     * Whether the caller had received all events before this attempt. The end of a connection alone does not say so,
     * because an upstream that fails before its next event ends it too. Nor does an empty body that is not stated to be
     * a stream, because it may belong to an error.
     */
    private fun nothingWasLeft(): Boolean =
        owner.resumes(this) && owner.mayHaveAllEvents && framer.tokens == 0 && framer.unfinishedBytes == 0 &&
            answerHeaders.contains(CONTENT_TYPE) && bodyDelimiter(answerHeaders) != BodyDelimiter.CONNECTION

    private fun receive(bytes: ByteArray) {
        receivedBytes += bytes.size
        if (!streaming) {
            collected.write(bytes)
            share.hold(collected.size().toLong())
            firstByte()
            if (collected.size() > COMPLETE_ANSWER_LIMIT_BYTES) {
                owner.completed(this, tooLarge())
                cancel()
            }
            return
        }
        receiveEvents(framer.accept(bytes))
        share.hold(framer.unfinishedBytes.toLong())
        framer.fault?.let(::fail)
    }

    private fun receiveEvents(events: ByteArray) {
        if (!firstByteSeen && events.isEmpty()) return pull(1)
        if (!firstByteSeen) owner.streamBegun(this)
        firstByte()
        owner.streamed(this, events)
        progress()
    }

    private fun fail(fault: RuntimeException) {
        owner.attemptFailed(this, fault)
        end(AttemptEnd.Broken(framer.tokens, receivedBytes))
        cancel()
    }

    /** Ends the attempt because the answers in progress hold more than the entry's budget. */
    private fun cutOff() {
        if (ended) return
        if (streaming) return fail(AnswerCutOff(NO_MEMORY))
        owner.answerNotUsed(this, checkNotNull(head).status, "answer_budget")
        val body = problemBody(NO_MEMORY, "ask for a smaller or a streamed answer, or send the request again later")
        collected = ByteArrayOutputStream()
        owner.completed(this, CompleteAnswer(HTTP_BAD_GATEWAY, JSON_HEADERS, body.toByteArray()))
        cancel()
    }

    private fun announcedBytes(): Long = answerHeaders.get(CONTENT_LENGTH)?.toLongOrNull() ?: 0

    private fun firstByte() {
        if (firstByteSeen) return
        firstByteSeen = true
        lastProgress = now()
        val failed = outcomeUnknown || checkNotNull(head).status >= HTTP_SERVER_ERROR
        report(EntryEvent.AttemptFirstByte(number, failed, accepted))
    }

    private fun progress() {
        if (now() - lastProgress < PROGRESS_INTERVAL_MILLISECONDS) return
        lastProgress = now()
        report(EntryEvent.AttemptProgress(number, framer.tokens, receivedBytes))
    }

    private fun checkTimeout() {
        if (ended) return
        val timeout = if (firstByteSeen) effect.timeouts.betweenBytes else effect.timeouts.firstByte
        val since = waitingSince
        val waited = if (since == null) 0 else now() - since
        if (waited < timeout) {
            timeoutCheck = loop.schedule(::checkTimeout, timeout - waited, TimeUnit.MILLISECONDS)
            return
        }
        val phase =
            when {
                firstByteSeen -> TimeoutPhase.BETWEEN_BYTES
                sent -> TimeoutPhase.FIRST_BYTE
                else -> TimeoutPhase.CONNECT
            }
        end(AttemptEnd.TimedOut(phase, framer.tokens, receivedBytes))
        cancel()
    }

    private fun completeAnswer() =
        CompleteAnswer(checkNotNull(head).status, checkNotNull(head).headers, collected.toByteArray())

    /** Replaces the upstream's answer, whose status would tell the caller that the request did not run. */
    private fun unstatedOutcome(): CompleteAnswer {
        val status = checkNotNull(head).status
        val body =
            problemBody(
                "the upstream answered with status $status and did not state whether it ran the request",
                "send the request again if it is idempotent; otherwise check with the service whether it ran",
            )
        return CompleteAnswer(HTTP_BAD_GATEWAY, JSON_HEADERS, body.toByteArray(), StatedOutcome.UNKNOWN)
    }

    private fun tooLarge(): CompleteAnswer {
        val body =
            problemBody("the upstream's answer exceeds the entry's limit", "ask for a smaller or a streamed answer")
        return CompleteAnswer(HTTP_BAD_GATEWAY, JSON_HEADERS, body.toByteArray())
    }

    private fun rejected(
        status: Int,
        retryAfterMilliseconds: Long?,
    ) = AttemptEnd.Rejected(retryAfterMilliseconds, concernsUpstream = status == HTTP_UNAVAILABLE)

    /** Reads the body of a rejection to its end if it is small, so that the connection can be reused. */
    private fun endNotRun(
        end: AttemptEnd,
        arrived: UpstreamSignal.Head,
    ) {
        end(end)
        val length = arrived.headers.get(CONTENT_LENGTH)?.toLongOrNull()
        if (length != null && length <= SMALL_BODY_BYTES) request(Long.MAX_VALUE) else cancel()
    }

    private companion object {
        const val BEHIND_MILLISECONDS = 100L
        const val PROGRESS_INTERVAL_MILLISECONDS = 250L
        const val COMPLETE_ANSWER_LIMIT_BYTES = 16 shl 20

        // A rejection of this size arrives together with its head; reading it costs less than a new connection.
        const val SMALL_BODY_BYTES = 4_096L
        const val NO_MEMORY = "the entry has no memory left for the upstream's answer"
        const val EVENT_STREAM = "text/event-stream"
        const val CONTENT_LENGTH = "Content-Length"
    }
}

/** A complete answer of an upstream that is not streamed. */
internal class CompleteAnswer(
    val status: Int,
    val headers: HttpHeaders,
    val body: ByteArray,
    val outcome: StatedOutcome = StatedOutcome.RAN,
)

internal const val HTTP_OK = 200
internal const val HTTP_TOO_MANY_REQUESTS = 429
internal const val HTTP_SERVER_ERROR = 500
internal const val HTTP_BAD_GATEWAY = 502
internal const val HTTP_UNAVAILABLE = 503
