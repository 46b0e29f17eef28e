package hawthorncrank.control.internal

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.Relay
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against an entry that cannot reach upstreams and does not learn of entries that do. */
class RelayListTest {
    private val group = VirtualGroup(3)

    @Test
    fun `an entry does not learn of entries that are linked to other replicas`() {
        val (leader, follower) = group.leader() to group.follower()
        link(leader, 1, "entry-1", "10.0.0.1:7")
        link(follower, 2, "entry-2", "10.0.0.2:7")
        link(follower, 3, "entry-3", "")
        group.run(1_000)
        assertEquals(listOf(Relay("entry-2", "zone", "10.0.0.2:7")), relays(leader, 1))
    }

    private fun link(
        replica: String,
        link: Long,
        entry: String,
        relayAddress: String,
    ) = group.entry(replica, link, EntryToControl.EntryHello(entry, "zone", 0, relayAddress), entry)

    private fun relays(
        replica: String,
        link: Long,
    ): List<Relay> {
        group.entry(replica, link, EntryToControl.ListRelays, "entry-1")
        group.run(100)
        return group
            .sent(replica, link)
            .filterIsInstance<ControlToEntry.RelayList>()
            .single()
            .relays
    }
}
