package hawthorncrank.link.internal

import hawthorncrank.common.EventLog
import hawthorncrank.link.LinkEventCode
import hawthorncrank.link.LinkListener
import hawthorncrank.link.LinkServer
import hawthorncrank.link.LinkSettings
import hawthorncrank.protocol.LinkRole
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.isClosed
import io.ktor.network.sockets.port
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

internal class ListeningServer private constructor(
    private val socket: ServerSocket,
    private val opener: LinkOpener,
    private val eventLog: EventLog,
    private val acceptedRoles: Set<LinkRole>,
) : LinkServer {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val unauthenticated = AtomicInteger()

    override val port: Int = socket.port

    private fun start() {
        scope.launch { acceptConnections() }
    }

    private suspend fun acceptConnections() {
        while (true) {
            val connection = nextConnection() ?: return
            if (unauthenticated.incrementAndGet() > UNAUTHENTICATED_LIMIT) {
                unauthenticated.decrementAndGet()
                connection.close()
                continue
            }
            scope.launch { serve(connection) }
        }
    }

    /** Returns null if accepting fails or the server is closed; closing the socket makes a pending accept throw. */
    private suspend fun nextConnection(): Socket? =
        try {
            socket.accept()
        } catch (failure: IOException) {
            if (!socket.isClosed) eventLog.record(LinkEventCode.LISTENER_FAILED, "error" to failure)
            null
        }

    private suspend fun serve(connection: Socket) {
        try {
            authenticate(connection)?.run()
        } finally {
            connection.close()
        }
    }

    private suspend fun authenticate(connection: Socket): SocketLink? =
        try {
            opener.asServer(connection, acceptedRoles)
        } catch (failure: CancellationException) {
            logRefusal(failure)
        } catch (failure: Exception) {
            logRefusal(failure)
        } finally {
            unauthenticated.decrementAndGet()
        }

    private fun logRefusal(failure: Exception): SocketLink? {
        eventLog.record(LinkEventCode.HANDSHAKE_REFUSED, "reason" to (failure.message ?: failure.javaClass.simpleName))
        return null
    }

    override fun close() {
        scope.cancel()
        socket.close()
    }

    companion object {
        /** Limits the resources that connections can occupy before they have proved to have the fleet key. */
        private const val UNAUTHENTICATED_LIMIT = 256

        suspend fun start(
            settings: LinkSettings,
            address: InetSocketAddress,
            listener: LinkListener,
            eventLog: EventLog,
            acceptedRoles: Set<LinkRole>,
        ): ListeningServer {
            val socket = aSocket(linkSelector).tcp().bind(address) { reuseAddress = true }
            val opener = LinkOpener(settings, listener, eventLog)
            return ListeningServer(socket, opener, eventLog, acceptedRoles).also { it.start() }
        }
    }
}
