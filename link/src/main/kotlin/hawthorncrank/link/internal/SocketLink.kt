package hawthorncrank.link.internal

import hawthorncrank.common.EventLog
import hawthorncrank.link.Link
import hawthorncrank.link.LinkEventCode
import hawthorncrank.link.LinkListener
import hawthorncrank.link.LinkSettings
import hawthorncrank.protocol.Heartbeat
import hawthorncrank.protocol.LinkRole
import hawthorncrank.protocol.WireMessage
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference

/** A link over one socket after its handshake: a reader, and a writer that sends heartbeats when it is idle. */
internal class SocketLink(
    private val settings: LinkSettings,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    peer: AuthenticatedPeer,
    private val incomingFrames: FrameCodec,
    private val outgoingFrames: FrameCodec,
    private val listener: LinkListener,
    private val eventLog: EventLog,
) : Link {
    private val outgoing = Channel<WireMessage>(settings.outgoingMessages)
    private val closeReason = AtomicReference<String?>(null)

    override val peerRole: LinkRole = peer.role
    override val peerName: String = peer.name

    override fun send(message: WireMessage): Boolean {
        if (outgoing.trySend(message).isSuccess) return true
        close("outgoing queue full or link closed")
        return false
    }

    override fun close() = close("closed by this end")

    /** Runs until the link is closed by either end or fails. */
    suspend fun run() {
        eventLog.record(LinkEventCode.LINK_OPENED, "peer" to peerName, "role" to peerRole)
        listener.opened(this)
        try {
            coroutineScope {
                val writer = launch { writeMessages() }
                readMessages()
                writer.cancel()
            }
        } catch (failure: CancellationException) {
            close("cancelled")
            throw failure
        } catch (failure: Exception) {
            close(failure.message ?: failure.javaClass.simpleName)
        } finally {
            val reason = closeReason.get() ?: "closed"
            eventLog.record(LinkEventCode.LINK_CLOSED, "peer" to peerName, "role" to peerRole, "reason" to reason)
            listener.closed(this, reason)
        }
    }

    private suspend fun readMessages() {
        while (closeReason.get() == null) {
            val message = withTimeoutOrNull(settings.silenceMilliseconds) { incomingFrames.read(input) }
            if (message == null) {
                close("silent for ${settings.silenceMilliseconds} ms")
                return
            }
            if (message !is Heartbeat) deliver(message)
        }
    }

    private fun deliver(message: WireMessage) {
        try {
            listener.received(this, message)
        } catch (failure: Exception) {
            eventLog.record(LinkEventCode.LISTENER_FAILED, "peer" to peerName, "error" to failure)
            close("receiver failed")
        }
    }

    private suspend fun writeMessages() {
        while (true) {
            val message = nextOutgoing()
            withTimeout(settings.silenceMilliseconds) {
                outgoingFrames.write(output, message)
                writeQueued()
                output.flush()
            }
        }
    }

    /** Selects instead of cancelling a receive, because a cancelled receive can lose the message that it has taken. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextOutgoing(): WireMessage =
        select {
            outgoing.onReceive { it }
            onTimeout(settings.heartbeatMilliseconds) { Heartbeat }
        }

    /** Writes messages that are already queued, so that they share one flush. */
    private suspend fun writeQueued() {
        repeat(MESSAGES_PER_FLUSH) {
            val next = outgoing.tryReceive().getOrNull() ?: return
            outgoingFrames.write(output, next)
        }
    }

    private fun close(reason: String) {
        if (!closeReason.compareAndSet(null, reason)) return
        outgoing.close()
        socket.close()
    }

    private companion object {
        const val MESSAGES_PER_FLUSH = 64
    }
}
