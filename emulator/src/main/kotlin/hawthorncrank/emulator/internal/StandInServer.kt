package hawthorncrank.emulator.internal

import io.netty.channel.Channel
import org.reactivestreams.Publisher
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

internal typealias Handler = (HttpServerRequest, HttpServerResponse) -> Publisher<Void>

/** An HTTP server that can drop its connections, withhold answers on open ones, and refuse new ones for a while. */
internal class StandInServer(
    private val host: String,
    port: Int,
    private val handler: Handler,
) : AutoCloseable {
    private val connections = ConcurrentHashMap<Channel, Long>()
    private val connectionNumbers = AtomicLong()

    @Volatile private var firstAnsweringConnection = 0L

    @Volatile private var server: DisposableServer = bind(port)

    val port: Int = server.port()

    /** Whether answers on this request's connection are withheld. */
    fun isSilenced(request: HttpServerRequest): Boolean {
        var number = Long.MAX_VALUE
        request.withConnection { connection -> number = connections[connection.channel()] ?: number }
        return number < firstAnsweringConnection
    }

    fun silenceConnections() {
        firstAnsweringConnection = connectionNumbers.get()
    }

    /** Closes every connection with a reset, as a killed process does. */
    fun dropConnections() = connections.keys.forEach(::resetConnection)

    fun stopListening() {
        server.disposeNow()
        dropConnections()
    }

    fun listenAgain() {
        server = bind(port)
    }

    override fun close() {
        server.disposeNow()
        dropConnections()
    }

    private fun bind(bindPort: Int): DisposableServer =
        HttpServer
            .create()
            .host(host)
            .port(bindPort)
            .httpRequestDecoder { it.maxHeaderSize(MAXIMUM_HEADER_BYTES) }
            .doOnChannelInit { _, channel, _ ->
                connections[channel] = connectionNumbers.getAndIncrement()
                channel.closeFuture().addListener { connections.remove(channel) }
            }.handle(handler)
            .bindNow()

    private companion object {
        const val MAXIMUM_HEADER_BYTES = 64 * 1024
    }
}
