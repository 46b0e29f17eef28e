package hawthorncrank.entry.internal

import hawthorncrank.common.EventLog
import hawthorncrank.common.decodeBounded
import hawthorncrank.common.joinBounded
import hawthorncrank.entry.core.CacheChange
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import io.netty.channel.ChannelOption
import kotlinx.serialization.Serializable
import reactor.core.Disposable
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.http.client.HttpClient
import reactor.netty.resources.ConnectionProvider
import reactor.netty.tcp.TcpClient
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/**
 * Polls once per second the engines of this entry's availability zone for their load and cache events, and the platform
 * for its membership list. Also probes upstreams that the control thread has excluded.
 */
internal class UpstreamPolls(
    private val availabilityZone: String,
    private val platformAddress: String?,
    private val view: () -> ConfigurationView?,
    private val send: (EntryEvent) -> Unit,
    private val log: EventLog,
) : AutoCloseable {
    private val connections =
        ConnectionProvider
            .builder("polls")
            .maxConnections(2)
            .maxIdleTime(Duration.ofSeconds(15))
            .build()
    private val client =
        HttpClient
            .create(connections)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, POLL_TIME_LIMIT.toMillis().toInt())
            .responseTimeout(POLL_TIME_LIMIT)
    private val newestCacheEvents = ConcurrentHashMap<String, Long>()
    private var ticks: Disposable? = null

    fun start() {
        ticks =
            Flux
                .interval(POLL_INTERVAL)
                .onBackpressureDrop()
                .concatMap({ poll() }, 1)
                .subscribe()
    }

    fun probe(
        upstream: String,
        address: String,
    ) {
        val engine = view()?.configuration?.upstreams?.any { it.name == upstream && it.kind == UpstreamKind.ENGINE }
        val answer = if (engine == true) get("http://$address/load").map { true } else connects(address)
        answer
            .onErrorReturn(false)
            .defaultIfEmpty(false)
            .subscribe { send(EntryEvent.ProbeAnswered(upstream, it)) }
    }

    override fun close() {
        ticks?.dispose()
        connections.dispose()
    }

    private fun poll(): Mono<Void> {
        val engines =
            view()?.configuration?.upstreams.orEmpty().filter {
                it.kind == UpstreamKind.ENGINE && it.availabilityZone == availabilityZone
            }
        val loads = engines.map { engine -> logErrors("load of ${engine.name}", load(engine)) }
        val caches = engines.map { engine -> logErrors("cache events of ${engine.name}", cacheEvents(engine)) }
        val members = platformAddress?.let { logErrors("platform members", members(it)) }
        return Mono.whenDelayError(loads + caches + listOfNotNull(members))
    }

    private fun load(engine: Upstream): Mono<*> =
        get("http://${engine.address}/load").doOnNext { text ->
            parseLoad(text)?.let { send(EntryEvent.LoadReported(engine.name, it)) }
        }

    private fun cacheEvents(engine: Upstream): Mono<*> {
        val after = newestCacheEvents[engine.name] ?: 0
        return get("http://${engine.address}/cache-events?after=$after").doOnNext { text ->
            lenient.decodeBounded<CacheEvents>(text).events.sortedBy { it.sequence }.forEach { event ->
                newestCacheEvents[engine.name] = event.sequence
                val change = CacheChange(event.sequence, event.stored.map(::digest), event.evicted.map(::digest))
                send(EntryEvent.CacheChanged(engine.name, change))
            }
        }
    }

    private fun members(address: String): Mono<*> =
        get("http://$address/members").doOnNext { text ->
            val members = lenient.decodeBounded<Members>(text)
            send(EntryEvent.MembershipReported(members.live.toSet(), members.leaving.toSet()))
        }

    private fun get(uri: String): Mono<String> =
        client
            .get()
            .uri(uri)
            .response { response, body ->
                val bytes = body.asByteArray().joinBounded(MAXIMUM_ANSWER_BYTES)
                if (response.status().code() == HTTP_OK) bytes.filter { it.isNotEmpty() } else Mono.empty()
            }.singleOrEmpty()
            .map { it.decodeToString() }
            .timeout(POLL_TIME_LIMIT)

    private fun connects(address: String): Mono<Boolean> =
        TcpClient
            .create(ConnectionProvider.newConnection())
            .host(address.substringBeforeLast(':'))
            .port(address.substringAfterLast(':').toInt())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, POLL_TIME_LIMIT.toMillis().toInt())
            .connect()
            .map {
                it.dispose()
                true
            }

    private fun logErrors(
        subject: String,
        poll: Mono<*>,
    ): Mono<Void> =
        poll
            .doOnError { log.record(EntryEventCode.POLL_FAILED, "subject" to subject, "error" to it) }
            .onErrorComplete()
            .then()

    private fun digest(hexadecimal: String): Long = java.lang.Long.parseUnsignedLong(hexadecimal, HEXADECIMAL)

    @Serializable
    private data class CacheEvents(
        val events: List<CacheEvent>,
    )

    @Serializable
    private data class CacheEvent(
        val sequence: Long,
        val stored: List<String>,
        val evicted: List<String>,
    )

    @Serializable
    private data class Members(
        val live: List<String>,
        val leaving: List<String>,
    )

    private companion object {
        val POLL_INTERVAL: Duration = Duration.ofSeconds(1)
        val POLL_TIME_LIMIT: Duration = Duration.ofSeconds(1)
        const val HEXADECIMAL = 16
        const val MAXIMUM_ANSWER_BYTES = 8 shl 20
    }
}
