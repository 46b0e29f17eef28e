package hawthorncrank.entry.internal

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onSuccess
import hawthorncrank.common.EventLog
import hawthorncrank.entry.EntryProgramSettings
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.link.Link
import hawthorncrank.link.LinkClient
import hawthorncrank.link.LinkFailure
import hawthorncrank.link.LinkListener
import hawthorncrank.link.LinkServer
import hawthorncrank.link.LinkSettings
import hawthorncrank.link.linkClient
import hawthorncrank.link.linkServer
import hawthorncrank.link.withHeartbeat
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.LinkRole
import hawthorncrank.protocol.WireMessage
import hawthorncrank.protocol.ZoneMessage
import java.util.concurrent.ConcurrentHashMap

/**
 * The links of an entry: one to a control replica and one to each other entry of its availability zone. Of two entries,
 * the one whose name sorts first opens the link, so that each pair has exactly one.
 */
internal class EntryLinks(
    private val settings: EntryProgramSettings,
    private val send: (EntryEvent) -> Unit,
    private val log: EventLog,
) : AutoCloseable {
    private val neighbours = ConcurrentHashMap<String, Link>()
    private val clients = mutableListOf<LinkClient>()
    private var server: LinkServer? = null

    private var controlClient: LinkClient? = null

    @Volatile private var control: Link? = null

    val port: Int get() = server?.port ?: 0

    fun listen(): Result<Unit, LinkFailure> =
        linkServer(own(LinkRole.ZONE_PEER), settings.linkAddress, ZoneListener(), log, setOf(LinkRole.ZONE_PEER))
            .map { server = it }

    fun connect(): Result<Unit, LinkFailure> =
        settings.zoneEntries
            .filter { it.name > settings.name }
            .fold(controlClient()) { opened, neighbour ->
                opened.andThen { client ->
                    clients += client
                    linkClient(own(LinkRole.ZONE_PEER), listOf(neighbour.address), ZoneListener(), log)
                }
            }.map { clients += it }

    private fun controlClient(): Result<LinkClient, LinkFailure> =
        linkClient(own(LinkRole.ENTRY), settings.controlAddresses, ControlListener(), log)
            .onSuccess { controlClient = it }

    fun updateControlAddresses(addresses: List<String>): Result<Unit, LinkFailure> =
        controlClient?.useAddresses(addresses) ?: Ok(Unit)

    fun sendToControl(message: EntryToControl) {
        control?.send(message)
    }

    fun sendToZone(
        message: ZoneMessage,
        recipient: String?,
    ) {
        if (recipient == null) neighbours.values.forEach { it.send(message) } else neighbours[recipient]?.send(message)
    }

    override fun close() {
        clients.forEach { it.close() }
        server?.close()
    }

    private fun own(role: LinkRole): LinkSettings =
        LinkSettings(role, settings.name, settings.fleetKey).withHeartbeat(settings.heartbeat?.value)

    private inner class ControlListener : LinkListener {
        override fun opened(link: Link) {
            control = link
            log.record(EntryEventCode.CONTROL_LINK_OPENED, "replica" to link.peerName)
            send(EntryEvent.ControlLinkOpened)
        }

        override fun received(
            link: Link,
            message: WireMessage,
        ) {
            if (message is ControlToEntry) send(EntryEvent.ControlMessageReceived(message))
        }

        override fun closed(
            link: Link,
            reason: String,
        ) {
            if (control === link) control = null
            log.record(EntryEventCode.CONTROL_LINK_CLOSED, "replica" to link.peerName, "reason" to reason)
            send(EntryEvent.ControlLinkClosed)
        }
    }

    private inner class ZoneListener : LinkListener {
        override fun opened(link: Link) {
            neighbours[link.peerName] = link
        }

        // Ignores messages whose sender name differs from the name that the link's handshake authenticated.
        override fun received(
            link: Link,
            message: WireMessage,
        ) {
            if (message is ZoneMessage && message.entry == link.peerName) send(EntryEvent.ZoneMessageReceived(message))
        }

        override fun closed(
            link: Link,
            reason: String,
        ) {
            neighbours.remove(link.peerName, link)
        }
    }
}
