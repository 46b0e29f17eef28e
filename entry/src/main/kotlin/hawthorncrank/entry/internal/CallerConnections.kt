package hawthorncrank.entry.internal

import io.netty.channel.ChannelHandler
import java.util.concurrent.ConcurrentHashMap

/** The open connections of a port. Its members may be used on any thread. */
internal class CallerConnections {
    private val connections: MutableSet<CallerConnection> = ConcurrentHashMap.newKeySet()

    val open: Int get() = connections.size

    /** How many connections have a request without a complete answer. */
    val unanswered: Int get() = connections.count { it.unanswered > 0 }

    /** Closes connections without a request, and each of the others after its answer. */
    fun closeWhenAnswered() = connections.forEach(CallerConnection::closeWhenAnswered)

    fun closeNow() = connections.forEach(CallerConnection::closeNow)

    /** Creates the handler that tracks one new connection. */
    fun handler(): ChannelHandler = CallerConnection({ connections += it }, { connections -= it })
}
