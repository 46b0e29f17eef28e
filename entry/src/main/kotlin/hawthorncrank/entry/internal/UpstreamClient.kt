package hawthorncrank.entry.internal

import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.core.EntryEffect
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.Connection
import reactor.netty.NettyPipeline
import reactor.netty.http.client.HttpClient
import reactor.netty.http.client.HttpClientResponse
import reactor.netty.resources.ConnectionProvider
import java.time.Duration

/** Parts of an upstream's answer in order of arrival: one head, then the chunks of the body. */
internal sealed interface UpstreamSignal {
    class Head(
        val status: Int,
        val headers: HttpHeaders,
    ) : UpstreamSignal

    class Chunk(
        val bytes: ByteArray,
    ) : UpstreamSignal
}

/**
 * Sends one request and returns its answer with back-pressure. It never retries: the control thread decides whether a
 * request may be sent again. A connection with an answer to another request is closed, because each later answer on it
 * may belong to an earlier request too.
 */
internal fun interface UpstreamClient {
    fun exchange(
        attempt: EntryEffect.StartAttempt,
        request: OutgoingRequest,
        content: AttemptContent,
        gate: SendingGate,
    ): Flux<UpstreamSignal>
}

/** What one attempt sends: its body and, for a resumed stream, the last event that the caller received. */
internal class AttemptContent(
    val body: ByteArray,
    val lastEventIdentifier: String?,
)

/**
 * Creates the client of a running entry. Non-idempotent calls have a separate pool that drops connections 2 s after
 * their last use: the peer may no longer respond on an older connection, which would leave the outcome unknown.
 * [configure] sets further options of connections.
 */
internal fun upstreamClient(
    nonIdempotentIdleLimit: Duration = NON_IDEMPOTENT_IDLE_LIMIT,
    configure: (HttpClient) -> HttpClient = { it },
): UpstreamClient {
    val pool = connections("upstream", IDLE_LIMIT)
    val nonIdempotentPool = connections("upstream-fresh", nonIdempotentIdleLimit)
    val unpooled = ConnectionProvider.newConnection()
    return UpstreamClient { attempt, request, content, gate ->
        val connections =
            when {
                attempt.newConnection -> unpooled
                request.idempotent -> pool
                else -> nonIdempotentPool
            }
        val progress = ExchangeProgress()
        configure(HttpClient.create(connections))
            .disableRetry(true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, attempt.timeouts.connect.toInt())
            .doOnChannelInit { _, channel, _ ->
                channel.pipeline().replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, UpstreamCodec())
            }.doOnRequest { _, connection -> codecOf(connection).begin(progress) }
            .doOnResponse { response, connection -> closeIfMismatched(response, connection, request.format) }
            .headers { headers -> setHeaders(headers, request, content) }
            .request(request.method)
            .uri("http://${attempt.address}${request.uri}")
            .send { prepared, outbound ->
                gate.settled.then(
                    Mono.defer {
                        val timeLeft = attempt.copy(deadlineMilliseconds = gate.begin())
                        setAttemptHeaders(prepared.requestHeaders(), timeLeft, request, content)
                        outbound.send(Mono.just(Unpooled.wrappedBuffer(content.body))).then()
                    },
                )
            }.response { response, answer ->
                val head = UpstreamSignal.Head(response.status().code(), response.responseHeaders())
                val chunks = answer.asByteArray().map<UpstreamSignal> { UpstreamSignal.Chunk(it) }
                Flux.concat(Mono.just(head), chunks, Mono.defer { completion(progress) })
            }
    }
}

private fun codecOf(connection: Connection): UpstreamCodec =
    connection.channel().pipeline().get(NettyPipeline.HttpCodec) as UpstreamCodec

private fun completion(progress: ExchangeProgress): Mono<UpstreamSignal> =
    if (progress.answerComplete) Mono.empty() else Mono.error(IncompleteAnswer())

/** The pool takes a connection back once its answer has arrived, which may be before the attempt has read the head. */
private fun closeIfMismatched(
    response: HttpClientResponse,
    connection: Connection,
    format: ExchangeFormat,
) {
    val reply = format.classifyReply(response.status().code(), response.responseHeaders())
    if (reply == UpstreamReply.Mismatched) connection.markPersistent(false)
}

private fun setHeaders(
    headers: HttpHeaders,
    request: OutgoingRequest,
    content: AttemptContent,
) {
    request.headers.forEach { (name, value) -> headers.add(name, value) }
    headers.set(HttpHeaderNames.CONTENT_LENGTH, content.body.size)
}

/** Some of these headers depend on the time at which the request is sent, which may be long after its decision. */
private fun setAttemptHeaders(
    headers: HttpHeaders,
    attempt: EntryEffect.StartAttempt,
    request: OutgoingRequest,
    content: AttemptContent,
) {
    request.format.attemptHeaders(attempt, content.lastEventIdentifier).forEach { (name, value) ->
        headers.set(name, value)
    }
}

private fun connections(
    name: String,
    idleLimit: Duration,
): ConnectionProvider =
    ConnectionProvider
        .builder(name)
        .maxConnections(CONNECTIONS_PER_UPSTREAM)
        .pendingAcquireTimeout(PENDING_ACQUIRE_LIMIT)
        .maxIdleTime(idleLimit)
        .evictInBackground(EVICTION_INTERVAL)
        .lifo()
        .build()

private val IDLE_LIMIT = Duration.ofSeconds(15)
private val NON_IDEMPOTENT_IDLE_LIMIT = Duration.ofSeconds(2)
private val PENDING_ACQUIRE_LIMIT = Duration.ofSeconds(1)
private val EVICTION_INTERVAL = Duration.ofSeconds(5)

// More than any engine's share for one entry, so that requests wait in the scheduler and not in the connection pool.
private const val CONNECTIONS_PER_UPSTREAM = 500
