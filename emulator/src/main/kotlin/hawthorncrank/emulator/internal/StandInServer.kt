package hawthorncrank.emulator.internal

import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import org.reactivestreams.Publisher
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

internal typealias Handler = (HttpServerRequest, HttpServerResponse) -> Publisher<Void>

/** An HTTP port that can drop its connections, hold back answers on old ones, and refuse new ones for a while. */
internal class StandInServer(
    private val host: String,
    port: Int,
    private val handler: Handler,
) : AutoCloseable {
    private val connections = ConcurrentHashMap<Channel, Long>()
    private val connectionNumbers = AtomicLong()

    @Volatile private var firstAnswering = 0L

    @Volatile private var server: DisposableServer = bind(port)

    val port: Int = server.port()

    /** Whether answers on this request's connection are held back. */
    fun silenced(request: HttpServerRequest): Boolean {
        var number = Long.MAX_VALUE
        request.withConnection { connection -> number = connections[connection.channel()] ?: number }
        return number < firstAnswering
    }

    fun silenceConnections() {
        firstAnswering = connectionNumbers.get()
    }

    /** Closes every connection with a reset, as a killed process does. */
    fun dropConnections() {
        connections.keys.forEach { channel ->
            channel.config().setOption(ChannelOption.SO_LINGER, 0)
            channel.close()
        }
    }

    fun refuse() {
        server.disposeNow()
        dropConnections()
    }

    fun acceptAgain() {
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
