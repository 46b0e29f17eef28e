package hawthorncrank.control.internal

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import hawthorncrank.common.EventLog
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.control.ControlSettings
import hawthorncrank.link.Link
import hawthorncrank.link.LinkClient
import hawthorncrank.link.LinkFailure
import hawthorncrank.link.LinkListener
import hawthorncrank.link.LinkServer
import hawthorncrank.link.LinkSettings
import hawthorncrank.link.linkClient
import hawthorncrank.link.linkServer
import hawthorncrank.link.withHeartbeat
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.LinkRole
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorRequest
import hawthorncrank.protocol.OperatorResponse
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.StreamNotice
import hawthorncrank.protocol.WireMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong

/**
 * The links of a control replica. Every replica opens a link to each other one and sends on that; it accepts links of
 * entries, operators and replicas. A message is accepted only if its type is allowed for the role that the link's
 * handshake authenticated.
 */
internal class ControlLinks(
    private val settings: ControlSettings,
    private val keys: OperatorKeys,
    private val log: EventLog,
    private val send: (ControlEvent) -> Unit,
) : AutoCloseable {
    // A link may be silent for longer than a leader, because closing a link loses the messages in flight on it.
    private val linkSettings =
        LinkSettings(LinkRole.REPLICA, settings.name, settings.fleetKey)
            .withHeartbeat(settings.heartbeat?.let { it.value * 2 })
    private val dialed = ConcurrentHashMap.newKeySet<String>()
    private val lastLinkNumber = AtomicLong()
    private val byLink = ConcurrentHashMap<Link, Long>()
    private val byNumber = ConcurrentHashMap<Long, Link>()
    private val toReplicas = ConcurrentHashMap<String, Link>()
    private val clients = CopyOnWriteArrayList<LinkClient>()
    private var server: LinkServer? = null

    val port: Int get() = server?.port ?: 0

    fun listen(): Result<Unit, LinkFailure> =
        linkServer(linkSettings, settings.linkAddress, ServerListener(), log, ACCEPTED_ROLES).map { server = it }

    fun connect() {
        settings.replicas.filter { it.name != settings.name }.forEach { dial(it.name, it.address) }
    }

    private fun dial(
        name: String,
        address: String,
    ) {
        if (!dialed.add(name)) return
        linkClient(linkSettings, listOf(address), ReplicaListener(name), log)
            .fold(success = { clients += it }, failure = { error(it.message) })
    }

    fun sendToReplica(
        name: String,
        message: WireMessage,
    ) {
        val link = toReplicas[name]
        if (link != null) {
            link.send(message)
        } else if (settings.discoversReplicas) {
            // Discovered replicas have their address as name. This message is lost; a later one repeats it once the
            // link is open.
            dial(name, name)
        }
    }

    fun sendToLink(
        number: Long,
        message: WireMessage,
    ) {
        byNumber[number]?.send(message)
    }

    fun closeLink(number: Long) {
        byNumber[number]?.close()
    }

    override fun close() {
        clients.forEach { it.close() }
        server?.close()
    }

    private inner class ReplicaListener(
        private val replica: String,
    ) : LinkListener {
        override fun opened(link: Link) {
            toReplicas[replica] = link
        }

        override fun received(
            link: Link,
            message: WireMessage,
        ) = Unit

        override fun closed(
            link: Link,
            reason: String,
        ) {
            toReplicas.remove(replica, link)
        }
    }

    private inner class ServerListener : LinkListener {
        override fun opened(link: Link) {
            val number = lastLinkNumber.incrementAndGet()
            byLink[link] = number
            byNumber[number] = link
        }

        override fun received(
            link: Link,
            message: WireMessage,
        ) {
            val number = byLink[link] ?: return
            when {
                message is ReplicaEnvelope && link.peerRole == LinkRole.REPLICA ->
                    send(ControlEvent.Replica(ReplicaEvent.EnvelopeReceived(message)))
                message is StreamNotice && link.peerRole == LinkRole.REPLICA ->
                    send(ControlEvent.StreamNoticed(message))
                message is EntryToControl && link.peerRole == LinkRole.ENTRY ->
                    send(ControlEvent.EntryMessage(number, link.peerName, message))
                message is OperatorRequest && link.peerRole == LinkRole.OPERATOR ->
                    operatorRequest(
                        link,
                        number,
                        message,
                    )
                else -> log.record(ControlEventCode.MESSAGE_REFUSED, "peer" to link.peerName, "role" to link.peerRole)
            }
        }

        override fun closed(
            link: Link,
            reason: String,
        ) {
            val number = byLink.remove(link) ?: return
            byNumber.remove(number)
            send(ControlEvent.LinkClosed(number))
        }
    }

    private fun operatorRequest(
        link: Link,
        number: Long,
        request: OperatorRequest,
    ) = keys.check(request.operatorName, request.credential) { isValid ->
        if (isValid) {
            send(ControlEvent.OperatorMessage(number, request.number, request.operatorName, request.command))
        } else {
            log.record(ControlEventCode.OPERATOR_REFUSED, "operator" to request.operatorName)
            link.send(OperatorResponse(request.number, WRONG_CREDENTIAL))
        }
    }

    private companion object {
        val ACCEPTED_ROLES = setOf(LinkRole.ENTRY, LinkRole.OPERATOR, LinkRole.REPLICA)
        val WRONG_CREDENTIAL =
            OperatorAnswer.Refused(
                "the operator's name or key is not known to this replica",
                "compare operator and key with [[operators]] in the settings of the control replicas",
            )
    }
}
