package hawthorncrank.entry.internal

import com.github.michaelbull.result.unwrap
import hawthorncrank.entry.ZoneEntry
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.protocol.ZoneMessage
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class EntryLinksTest {
    /** Guards against a pair of entries without a link, and against an entry that sends under another entry's name. */
    @Test
    fun `two entries of a zone receive each other's messages under their own names`() {
        val receivedByFirst = LinkedBlockingQueue<EntryEvent>()
        val receivedBySecond = LinkedBlockingQueue<EntryEvent>()
        val second = links("entry-2", emptyList(), receivedBySecond)
        second.listen().unwrap()
        val first = links("entry-1", listOf(ZoneEntry("entry-2", "127.0.0.1:${second.port}")), receivedByFirst)
        first.connect().unwrap()
        val staged = ZoneMessage.StagedNotice("entry-2", 3)
        sendUntilReceived(second, staged, receivedByFirst)
        val question = ZoneMessage.ConfigurationQuestion("entry-1")
        first.sendToZone(ZoneMessage.StagedNotice("entry-2", 9), recipient = null)
        first.sendToZone(question, recipient = "entry-2")
        assertEquals(EntryEvent.ZoneMessageReceived(question), receivedBySecond.poll(10, TimeUnit.SECONDS))
        assertNull(receivedBySecond.poll())
        first.close()
        second.close()
    }

    private fun sendUntilReceived(
        links: EntryLinks,
        message: ZoneMessage,
        received: LinkedBlockingQueue<EntryEvent>,
    ) {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
        var event: EntryEvent? = null
        while (event == null && System.nanoTime() < end) {
            links.sendToZone(message, recipient = null)
            event = received.poll(10, TimeUnit.MILLISECONDS)
        }
        assertEquals(EntryEvent.ZoneMessageReceived(message), event)
    }

    private fun links(
        name: String,
        neighbours: List<ZoneEntry>,
        received: LinkedBlockingQueue<EntryEvent>,
    ): EntryLinks {
        val settings = EntryFixture.settings().copy(name = name, zoneEntries = neighbours)
        return EntryLinks(settings, received::add, EntryFixture.SILENT)
    }
}
