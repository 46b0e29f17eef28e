package hawthorncrank.link

import hawthorncrank.protocol.LinkRole
import hawthorncrank.protocol.WireMessage

/**
 * An authenticated connection between two of the system's own processes. Messages arrive in order or not at all. A link
 * on which nothing arrives for longer than its timeout is closed.
 */
interface Link {
    val peerRole: LinkRole
    val peerName: String

    /** Queues the message. Returns false if the link is closed or its outgoing queue is full; the latter closes it. */
    fun send(message: WireMessage): Boolean

    fun close()
}
