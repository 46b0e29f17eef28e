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

/** Runs the handshake on a newly connected socket and creates a link on it. */
internal class LinkOpener(
    private val settings: LinkSettings,
    private val listener: LinkListener,
    private val eventLog: EventLog,
) {
    suspend fun asClient(socket: Socket): SocketLink =
        open(socket, { it.asClient() }, { it.serverFrameMac() }, { it.clientFrameMac() })

    suspend fun asServer(
        socket: Socket,
        acceptedRoles: Set<LinkRole>,
    ): SocketLink = open(socket, { it.asServer(acceptedRoles) }, { it.clientFrameMac() }, { it.serverFrameMac() })

    private suspend fun open(
        socket: Socket,
        authenticate: suspend (Handshake) -> AuthenticatedPeer,
        incomingMac: (SessionKeys) -> Mac,
        outgoingMac: (SessionKeys) -> Mac,
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
            FrameCodec(incomingMac(peer.session)),
            FrameCodec(outgoingMac(peer.session)),
            listener,
            eventLog,
        )
    }
}
