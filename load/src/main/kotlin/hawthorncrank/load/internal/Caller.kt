package hawthorncrank.load.internal

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.HttpMethod
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.http.client.HttpClient
import reactor.netty.resources.ConnectionProvider
import java.io.ByteArrayOutputStream
import java.time.Duration

/** Sends planned requests, resends them as planned, and reports how each ended. */
internal class Caller(
    private val model: String,
    private val runName: String,
    maximumInFlight: Int,
    private val nanoseconds: () -> Long,
) : AutoCloseable {
    private val connections =
        ConnectionProvider
            .builder("load")
            .maxConnections(maximumInFlight)
            .pendingAcquireMaxCount(-1)
            .build()
    private val client =
        HttpClient
            .create(connections)
            .disableRetry(true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)

    /** [intended] is the scheduled send time. Every latency is measured from it. */
    fun call(
        planned: PlannedRequest,
        intended: Long,
    ): Mono<RequestResult> {
        val content = RequestContent(model, runName, planned)
        return send(planned, content, intended, sends = 1)
    }

    override fun close() = connections.dispose()

    private fun send(
        planned: PlannedRequest,
        content: RequestContent,
        intended: Long,
        sends: Int,
    ): Mono<RequestResult> {
        val reception = Reception()
        val exchange =
            client
                .headers { headers ->
                    headers.set("Authorization", "Bearer ${planned.organisation.key}")
                    headers.set("Hawthorncrank-Class", planned.load.name)
                    headers.set("Content-Type", "application/json")
                    content.idempotencyKey?.let { headers.set("Idempotency-Key", it) }
                }.request(HttpMethod.valueOf(if (planned.load.path == null) "POST" else planned.load.method))
                .uri("http://${planned.entry}${content.path}")
                .send(Mono.fromSupplier { Unpooled.wrappedBuffer(content.body.toByteArray()) })
                .response { response, body ->
                    reception.status = response.status().code()
                    reception.retryAfterSeconds = response.responseHeaders().get("Retry-After")?.toLongOrNull()
                    body.asByteArray()
                }.doOnNext { reception.accept(it, nanoseconds()) }
        return disconnectIfPlanned(planned, exchange)
            .then(Mono.just(true))
            .onErrorReturn(false)
            .flatMap { finished -> resendOrReport(planned, content, intended, sends, reception, finished) }
    }

    // Cancelling the exchange closes the connection.
    private fun disconnectIfPlanned(
        planned: PlannedRequest,
        exchange: Flux<ByteArray>,
    ): Flux<ByteArray> =
        if (planned.leaves) exchange.take(Duration.ofMillis(planned.load.leaveAfter.value)) else exchange

    private fun resendOrReport(
        planned: PlannedRequest,
        content: RequestContent,
        intended: Long,
        sends: Int,
        reception: Reception,
        finished: Boolean,
    ): Mono<RequestResult> {
        val ending = classify(planned, content, reception, finished)
        if (ending in RESENDABLE && sends <= planned.resends) {
            val resendDelay = Duration.ofSeconds((reception.retryAfterSeconds ?: 1).coerceIn(1, MAXIMUM_DELAY_SECONDS))
            return Mono.delay(resendDelay).flatMap { send(planned, content, intended, sends + 1) }
        }
        val result =
            RequestResult(
                planned = planned,
                ending = ending,
                status = reception.status,
                firstToken = reception.firstByteAt?.let { milliseconds(it - intended) },
                total = milliseconds(nanoseconds() - intended),
                tokenIntervals = reception.intervals,
                sends = sends,
            )
        return Mono.just(result)
    }

    private fun classify(
        planned: PlannedRequest,
        content: RequestContent,
        reception: Reception,
        finished: Boolean,
    ): Ending {
        val text = reception.text()
        val status = reception.status
        return when {
            status == null -> if (planned.leaves && finished) Ending.LEFT else Ending.INTERRUPTED
            status !in SUCCESS_STATUSES -> Ending.REFUSED
            finished && content.isComplete(text) -> Ending.WHOLE
            planned.leaves && content.isPartial(text) -> Ending.LEFT
            (!finished || "event: error" in text) && content.isPartial(text) -> Ending.INTERRUPTED
            else -> Ending.WRONG
        }
    }

    private fun milliseconds(nanoseconds: Long): Double = nanoseconds / NANOSECONDS_PER_MILLISECOND

    /** What one send received. One event loop writes it, and it is read only after the exchange has ended. */
    private class Reception {
        private val bytes = ByteArrayOutputStream()
        private var lastByteAt = 0L
        val intervals = mutableListOf<Double>()
        var firstByteAt: Long? = null
        var retryAfterSeconds: Long? = null
        var status: Int? = null

        fun accept(
            chunk: ByteArray,
            now: Long,
        ) {
            if (firstByteAt ==
                null
            ) {
                firstByteAt = now
            } else {
                intervals += (now - lastByteAt) / NANOSECONDS_PER_MILLISECOND
            }
            lastByteAt = now
            bytes.writeBytes(chunk)
        }

        fun text(): String = bytes.toString(Charsets.UTF_8)
    }

    private companion object {
        val RESENDABLE = setOf(Ending.REFUSED, Ending.INTERRUPTED)
        val SUCCESS_STATUSES = 200..299
        const val CONNECT_TIMEOUT_MILLISECONDS = 5_000
        const val MAXIMUM_DELAY_SECONDS = 10L
        const val NANOSECONDS_PER_MILLISECOND = 1e6
    }
}
