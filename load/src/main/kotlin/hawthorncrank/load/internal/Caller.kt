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

/** Sends one planned request, again where its caller does so, and tells how it ended. */
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
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_LIMIT_MILLISECONDS)

    /** [intended] is the time at which the schedule sends the request; every latency counts from it. */
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
        return leaving(planned, exchange)
            .then(Mono.just(true))
            .onErrorReturn(false)
            .flatMap { finished -> ended(planned, content, intended, sends, reception, finished) }
    }

    // The caller that leaves cancels its exchange, which closes the connection.
    private fun leaving(
        planned: PlannedRequest,
        exchange: Flux<ByteArray>,
    ): Flux<ByteArray> =
        if (planned.leaves) exchange.take(Duration.ofMillis(planned.load.leaveAfter.value)) else exchange

    private fun ended(
        planned: PlannedRequest,
        content: RequestContent,
        intended: Long,
        sends: Int,
        reception: Reception,
        finished: Boolean,
    ): Mono<RequestResult> {
        val ending = ending(planned, content, reception, finished)
        if (ending in RESENT && sends <= planned.resends) {
            val pause = Duration.ofSeconds((reception.retryAfterSeconds ?: 1).coerceIn(1, LONGEST_PAUSE_SECONDS))
            return Mono.delay(pause).flatMap { send(planned, content, intended, sends + 1) }
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

    private fun ending(
        planned: PlannedRequest,
        content: RequestContent,
        reception: Reception,
        finished: Boolean,
    ): Ending {
        val text = reception.text()
        val status = reception.status
        return when {
            status == null -> if (planned.leaves && finished) Ending.LEFT else Ending.INTERRUPTED
            status !in SUCCESS -> Ending.REFUSED
            finished && content.isWhole(text) -> Ending.WHOLE
            planned.leaves && content.isPart(text) -> Ending.LEFT
            (!finished || "event: error" in text) && content.isPart(text) -> Ending.INTERRUPTED
            else -> Ending.WRONG
        }
    }

    private fun milliseconds(nanoseconds: Long): Double = nanoseconds / NANOSECONDS_PER_MILLISECOND

    /** What one send received. Filled by one event loop and read after its end. */
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
        val RESENT = setOf(Ending.REFUSED, Ending.INTERRUPTED)
        val SUCCESS = 200..299
        const val CONNECT_LIMIT_MILLISECONDS = 5_000
        const val LONGEST_PAUSE_SECONDS = 10L
        const val NANOSECONDS_PER_MILLISECOND = 1e6
    }
}
