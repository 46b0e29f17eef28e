package hawthorncrank.control.internal

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ListedUpstream
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against streams that are joined from two versions of the upstreams' software, or that needlessly end. */
class StreamOriginsTest {
    private val group = VirtualGroup(3)

    @Test
    fun `a replica does not know a stream that was reported to another one`() {
        val (leader, follower) = group.leader() to group.follower()
        link(leader, 1)
        link(follower, 2)
        group.entry(follower, 2, EntryToControl.StreamBegan("attempt-1", "v1"))
        group.run(100)
        assertEquals(ControlToEntry.StreamFound("attempt-1", "v1", ambiguous = false), find(leader, 1, "attempt-1"))
    }

    @Test
    fun `an unknown stream goes on although two versions were listed within a minute`() {
        val replica = group.leader()
        group.run(60_000)
        listVersions(replica, "v1")
        assertEquals(false, find(replica, 1, "attempt-2").ambiguous)
        listVersions(replica, "v1.1")
        assertEquals(true, find(replica, 1, "attempt-3").ambiguous)
        group.run(60_000)
        listVersions(replica, "v1.1")
        assertEquals(false, find(replica, 1, "attempt-4").ambiguous)
    }

    private fun listVersions(
        replica: String,
        vararg versions: String,
    ) {
        link(replica, 1)
        val listed =
            versions.map { ListedUpstream("i-$it", "model", "10.0.0.1:1", "zone", 4, leaving = false, software = it) }
        group.entry(replica, 1, EntryToControl.ListUpstreams(1, null))
        group.run(1_200)
        group.deliver(replica, ControlEvent.UpstreamsListed(group.readings(replica).last().askedAt, listed))
    }

    private fun link(
        replica: String,
        link: Long,
    ) = group.entry(replica, link, EntryToControl.EntryHello("entry-$link", "zone", 0, readsSoftware = true))

    private fun find(
        replica: String,
        link: Long,
        stream: String,
    ): ControlToEntry.StreamFound {
        group.entry(replica, link, EntryToControl.FindStream(stream, "model"))
        return group.sent(replica, link).filterIsInstance<ControlToEntry.StreamFound>().last()
    }
}
