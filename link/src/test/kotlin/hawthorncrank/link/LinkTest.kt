package hawthorncrank.link

import com.github.michaelbull.result.unwrap
import com.github.michaelbull.result.unwrapError
import hawthorncrank.common.EventLog
import hawthorncrank.protocol.LinkRole
import hawthorncrank.protocol.ZoneMessage
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class LinkTest {
    private val refusals = LinkedBlockingQueue<String>()
    private val clientRefusals = LinkedBlockingQueue<String>()
    private val eventLog = refusalsInto(refusals)
    private val clientEventLog = refusalsInto(clientRefusals)
    private val atServer = RecordingListener()
    private val atClient = RecordingListener()

    @Test
    fun `messages arrive whole and in order in both directions`() =
        withServer { server ->
            clientOf(server).use {
                val client = atClient.awaitOpened()
                val accepted = atServer.awaitOpened()
                assertEquals("entry-1", accepted.peerName)
                assertEquals(LinkRole.ENTRY, accepted.peerRole)
                val sent = (1L..500L).map { ZoneMessage.StagedNotice("entry-1", it) }
                sent.forEach { assertTrue(client.send(it)) }
                sent.forEach { assertTrue(accepted.send(it)) }
                assertEquals(sent, sent.map { atServer.awaitMessage() })
                assertEquals(sent, sent.map { atClient.awaitMessage() })
            }
        }

    /**
     * Selectors that wait must not occupy the shared threads: with a selector for each client, six of them blocked all
     * threads of a process that has four, and every message took half a second.
     */
    @Test
    fun `no link blocks a dispatcher thread while it waits for messages`() =
        withServer { server ->
            val clients = List(LINKS) { clientOf(server) }
            repeat(LINKS) { atServer.awaitOpened() }
            val waiting =
                Thread.getAllStackTraces().filter { (thread, frames) ->
                    thread.name.startsWith("DefaultDispatcher") && frames.any { "Selector" in it.className }
                }
            clients.forEach { it.close() }
            assertEquals(emptySet(), waiting.keys)
        }

    @Test
    fun `a client with a different fleet key is refused and no link opens`() =
        withServer { server ->
            clientOf(server, fleetKey = "wrong").use {
                assertEquals("the fleet keys differ", awaitRefusal(clientRefusals))
                assertFalse(atServer.hasOpened())
                assertFalse(atClient.hasOpened())
            }
        }

    @Test
    fun `a role that the port does not accept is refused`() =
        withServer(acceptedRoles = setOf(LinkRole.REPLICA)) { server ->
            clientOf(server).use {
                assertEquals("role ENTRY is not accepted on this port", awaitRefusal())
            }
        }

    @Test
    fun `malformed input on the port is refused and does not affect other links`() =
        withServer { server ->
            clientOf(server).use {
                val client = atClient.awaitOpened()
                atServer.awaitOpened()
                Socket("127.0.0.1", server.port).use { socket ->
                    socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".toByteArray())
                    awaitRefusal()
                }
                val notice = ZoneMessage.StagedNotice("entry-1", 7)
                client.send(notice)
                assertEquals(notice, atServer.awaitMessage())
            }
        }

    @Test
    fun `a link is closed when its peer stops sending heartbeats`() =
        withServer(settings = serverSettings.copy(silenceMilliseconds = 200)) { server ->
            clientOf(server, heartbeatMilliseconds = 3_600_000).use {
                atServer.awaitOpened()
                assertEquals("silent for 200 ms", atServer.awaitClosed())
            }
        }

    @Test
    fun `the client connects to the next address when the link to the first is lost`() =
        withServer { first ->
            withServer { second ->
                val addresses = listOf(first, second).map { "127.0.0.1:${it.port}" }
                linkClient(clientSettings, addresses, atClient, clientEventLog).unwrap().use {
                    atClient.awaitOpened()
                    first.close()
                    atClient.awaitClosed()
                    assertNotNull(atClient.awaitOpened())
                }
            }
        }

    @Test
    fun `a port in use and a malformed address are reported`() {
        ServerSocket(0).use { taken ->
            val address = "127.0.0.1:${taken.localPort}"
            val failure = linkServer(serverSettings, address, atServer, eventLog).unwrapError()
            assertIs<LinkFailure.AddressUnavailable>(failure)
            assertTrue(address in failure.message)
        }
        assertIs<LinkFailure.MalformedAddress>(
            linkServer(serverSettings, "nowhere", atServer, eventLog).unwrapError(),
        )
    }

    /** Client and server log on their own threads, so each has its own queue. */
    private fun refusalsInto(queue: LinkedBlockingQueue<String>) =
        EventLog { event, fields ->
            if (event == LinkEventCode.HANDSHAKE_REFUSED) queue.add(fields["reason"].toString())
        }

    private fun awaitRefusal(queue: LinkedBlockingQueue<String> = refusals): String =
        assertNotNull(queue.poll(20, TimeUnit.SECONDS), "no handshake was refused")

    private fun withServer(
        settings: LinkSettings = serverSettings,
        acceptedRoles: Set<LinkRole> = LinkRole.entries.toSet(),
        test: (LinkServer) -> Unit,
    ) = linkServer(settings, "127.0.0.1:0", atServer, eventLog, acceptedRoles).unwrap().use(test)

    private fun clientOf(
        server: LinkServer,
        fleetKey: String = "fleet",
        heartbeatMilliseconds: Long = 1_000,
    ): LinkClient {
        val settings = clientSettings.copy(fleetKey = fleetKey, heartbeatMilliseconds = heartbeatMilliseconds)
        return linkClient(settings, listOf("127.0.0.1:${server.port}"), atClient, clientEventLog).unwrap()
    }

    private companion object {
        const val LINKS = 8
        val serverSettings = LinkSettings(LinkRole.REPLICA, "control-1", "fleet")
        val clientSettings = LinkSettings(LinkRole.ENTRY, "entry-1", "fleet")
    }
}
