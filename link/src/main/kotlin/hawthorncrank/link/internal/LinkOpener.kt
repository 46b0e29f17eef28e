package hawthorncrank.link.internal

import hawthorncrank.common.EventLog
import hawthorncrank.link.LinkListener
import hawthorncrank.link.LinkSettings
import hawthorncrank.protocol.LinkRole
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.withTimeout
import javax.crypto.Mac

/** Authenticates the other end of a fresh socket and makes a link of it. */
internal class LinkOpening(
    private val settings: LinkSettings,
    private val listener: LinkListener,
    private val eventLog: EventLog,
) {
    suspend fun asClient(socket: Socket): SocketLink =
        open(socket, { it.asClient() }, { it.serverFrames() }, { it.clientFrames() })

    suspend fun asServer(
        socket: Socket,
        acceptedRoles: Set<LinkRole>,
    ): SocketLink = open(socket, { it.asServer(acceptedRoles) }, { it.clientFrames() }, { it.serverFrames() })

    private suspend fun open(
        socket: Socket,
        authenticate: suspend (Handshake) -> AuthenticatedPeer,
        incoming: (SessionKeys) -> Mac,
        outgoing: (SessionKeys) -> Mac,
    ): SocketLink {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)
        val peer =
            withTimeout(settings.silenceMilliseconds) { authenticate(Handshake(settings, input, output)) }
        return SocketLink(
            settings,
            socket,
            input,
            output,
            peer,
            FrameCodec(incoming(peer.session)),
            FrameCodec(outgoing(peer.session)),
            listener,
            eventLog,
        )
    }
}
