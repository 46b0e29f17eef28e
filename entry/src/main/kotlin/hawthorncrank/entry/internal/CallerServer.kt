package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import hawthorncrank.common.EventLog
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.StatedOutcome
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import org.reactivestreams.Publisher
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.Connection
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import java.io.ByteArrayOutputStream
import java.time.Duration
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Serves callers' requests: admits the caller, receives the body within its limits, passes the request to the control
 * thread and writes the answer of the exchange.
 */
internal class CallerServer(
    private val entryName: String,
    private val callers: CallerInterface,
    private val activeExchanges: ActiveExchanges,
    private val view: () -> ConfigurationView?,
    private val rejectionsAreFinal: () -> Boolean,
    private val now: () -> Long,
    private val bodyTime: Duration,
    firstNumber: Long,
    private val log: EventLog,
    private val stopping: () -> Boolean,
) {
    private val numbers = AtomicLong(firstNumber)
    private val open = AtomicInteger()

    /** Requests whose answer has not been written, including those whose body is still arriving. */
    val openRequests: Int get() = open.get()

    fun handle(
        request: HttpServerRequest,
        response: HttpServerResponse,
    ): Publisher<Void> = handle(request, response, relayed = false)

    /** Serves a request that another entry sent because it cannot reach upstreams. */
    fun handleRelayed(
        request: HttpServerRequest,
        response: HttpServerResponse,
    ): Publisher<Void> = handle(request, response, relayed = true)

    private fun handle(
        request: HttpServerRequest,
        response: HttpServerResponse,
        relayed: Boolean,
    ): Publisher<Void> {
        open.incrementAndGet()
        return Flux.defer { accept(request, response, relayed) }.doFinally { open.decrementAndGet() }
    }

    private fun accept(
        request: HttpServerRequest,
        response: HttpServerResponse,
        relayed: Boolean,
    ): Publisher<Void> {
        val reject = { rejection: Rejection -> rejected(request, forRelay(confirmed(rejection), relayed)) }
        val current = view() ?: return write(response, reject(Rejection.NotReady))
        var connection: Connection? = null
        request.withConnection { connection = it }
        return callers.admit(request, current).flatMapMany { result ->
            result.fold(
                success = {
                    val reading = RequestReading(request, Admission(current, it), relayed, callers, view, reject)
                    receive(request, response, reading, checkNotNull(connection))
                },
                failure = { write(response, reject(it)) },
            )
        }
    }

    // An outdated configuration may lack a route or a key that the newest configuration has.
    private fun confirmed(rejection: Rejection): Rejection =
        if (rejection.status == HTTP_UNAVAILABLE || rejectionsAreFinal()) {
            rejection
        } else {
            Rejection.UnconfirmedConfiguration
        }

    /** An entry that is not ready may not be the only one: the entry that relayed the request tries another. */
    private fun forRelay(
        rejection: Rejection,
        relayed: Boolean,
    ): Rejection = if (relayed && rejection.status == HTTP_UNAVAILABLE) Rejection.CannotRelay else rejection

    private fun receive(
        request: HttpServerRequest,
        response: HttpServerResponse,
        reading: RequestReading,
        connection: Connection,
    ): Publisher<Void> =
        body(request).flatMapMany { result ->
            result.fold(
                success = { bytes -> exchange(reading, bytes, response, connection) },
                failure = { write(response, rejected(request, it)) },
            )
        }

    private fun exchange(
        reading: RequestReading,
        body: ByteArray,
        response: HttpServerResponse,
        connection: Connection,
    ): Publisher<Void> {
        val number = numbers.getAndIncrement()
        response.header(REQUEST_HEADER, "$entryName-$number")
        val complete = CompleteBody(number, body, now())
        return reading.read(complete).flatMapMany { result ->
            result.fold(
                success = { parsed -> run(parsed, { reading.read(complete) }, response, connection) },
                failure = { write(response, it) },
            )
        }
    }

    private fun run(
        parsed: ParsedRequest,
        read: () -> Mono<Result<ParsedRequest, CallerAnswer.Complete>>,
        response: HttpServerResponse,
        connection: Connection,
    ): Publisher<Void> {
        val loop = connection.channel().eventLoop()
        val exchange = Exchange(parsed, read, loop, activeExchanges, log, connection::dispose)
        activeExchanges.register(exchange)
        activeExchanges.report(EntryEvent.RequestArrived(parsed.callerRequest))
        return exchange.answer
            .flatMapMany { write(response, it) }
            .doOnComplete { exchange.delivered() }
            .doOnCancel { exchange.callerLeft() }
            .doOnError { failure ->
                if (failure !is StreamBroken) {
                    log.record(
                        EntryEventCode.EXCHANGE_FAILED,
                        "request" to parsed.callerRequest.number,
                        "error" to failure,
                    )
                }
                exchange.callerLeft()
            }
    }

    private fun rejected(
        request: HttpServerRequest,
        rejection: Rejection,
    ): CallerAnswer.Complete {
        log.record(
            EntryEventCode.REQUEST_REJECTED,
            "request" to callers.identifierOf(request.requestHeaders()),
            "host" to request.requestHeaders().get(HttpHeaderNames.HOST),
            "path" to request.uri().take(LOGGED_PATH_CHARACTERS),
            "status" to rejection.status,
            "problem" to rejection.problem,
            "configuration" to view()?.version,
        )
        return callers.refusals.rejection(rejection)
    }

    private fun write(
        response: HttpServerResponse,
        answer: CallerAnswer,
    ): Publisher<Void> {
        response.status(answer.status)
        if (stopping()) response.keepAlive(false)
        answer.headers.forEach { (name, value) -> response.addHeader(name, value) }
        return when (answer) {
            is CallerAnswer.Complete -> {
                response.header(HttpHeaderNames.CONTENT_LENGTH, answer.body.size.toString())
                response.sendByteArray(Mono.just(answer.body))
            }
            is CallerAnswer.Stream -> response.send(answer.body.map(::wrap)) { true }
        }
    }

    private fun wrap(bytes: ByteArray): ByteBuf = Unpooled.wrappedBuffer(bytes)

    private fun body(request: HttpServerRequest): Mono<Result<ByteArray, Rejection>> {
        val announced = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH)?.toLongOrNull() ?: 0
        if (announced > BODY_LIMIT_BYTES) return Mono.just(Err(Rejection.BodyTooLarge))
        val chunks: Flux<ByteArray> = request.receive().asByteArray()
        return chunks
            .scanWith({ ByteArrayOutputStream() }) { collected, chunk -> collected.apply { write(chunk) } }
            .takeUntil { it.size() > BODY_LIMIT_BYTES }
            .last()
            .map<Result<ByteArray, Rejection>> {
                if (it.size() > BODY_LIMIT_BYTES) Err(Rejection.BodyTooLarge) else Ok(it.toByteArray())
            }.timeout(bodyTime)
            .onErrorReturn(TimeoutException::class.java, Err(Rejection.BodyTooSlow))
    }

    private companion object {
        const val BODY_LIMIT_BYTES = 4 shl 20

        // Enough to recognise the route's prefix; the rest of the path is as long as the caller chooses.
        const val LOGGED_PATH_CHARACTERS = 100
    }
}

internal fun rejectionAnswer(rejection: Rejection): CallerAnswer.Complete {
    val answer =
        problemAnswer(rejection.status, rejection, StatedOutcome.NOT_RUN, rejection.retryAfterMilliseconds)
    // Without closing, the unread rest of a body would be parsed as the next request.
    val closes = rejection.status in setOf(401, 408, 413, 503)
    return if (closes) {
        CallerAnswer.Complete(
            answer.status,
            answer.headers + ("Connection" to "close"),
            answer.body,
        )
    } else {
        answer
    }
}
