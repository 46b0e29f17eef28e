package hawthorncrank.control.internal

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.revision
import kotlinx.collections.immutable.persistentMapOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against a platform that is asked by every entry, and against entries that trust an old list. */
class UpstreamListsTest {
    private val upstreams = listOf(ListedUpstream("i-1", "model", "10.0.0.1:80", "zone", slots = 6, leaving = false))
    private val group = VirtualGroup(1)

    @Test
    fun `the list is read once per second for all entries that ask`() {
        val readings = askFor(milliseconds = 10_000, entries = 20) { listed(it) }
        assertEquals(true, readings in 9..11, "$readings readings")
        assertEquals(20, (1L..20L).count { link -> answers(link).any { it.upstreams == upstreams } })
    }

    @Test
    fun `an entry that has the list gets only its age`() {
        askFor(milliseconds = 2_000, entries = 1) { listed(it) }
        val last = answers(1).last()
        assertNull(last.upstreams)
        assertEquals(upstreams.revision(), last.revision)
    }

    @Test
    fun `a list that was not read for some time is not sent`() {
        askFor(milliseconds = 2_000, entries = 1) { listed(it) }
        askFor(milliseconds = 2_000, entries = 1) { failed(it) }
        val before = answers(1).size
        askFor(milliseconds = 2_000, entries = 1) { failed(it) }
        assertEquals(before, answers(1).size)
    }

    @Test
    fun `nothing is read while no entry asks`() {
        askFor(milliseconds = 1_000, entries = 1) { listed(it) }
        group.run(6_000)
        val before = group.readings(REPLICA).size
        group.run(5_000)
        assertEquals(before, group.readings(REPLICA).size)
    }

    /** Otherwise switching the reports off would leave urgent streams away from engines that nobody compares any more. */
    @Test
    fun `a replica that reads no reports tells entries of no slow engines`() {
        val state = group.state(REPLICA)
        val decided = state.control.copy(slowEngines = persistentMapOf("i-1" to 2.0))
        assertEquals(emptyMap(), state.copy(control = decided).slowEngines)
        assertEquals(
            decided.slowEngines,
            state.copy(control = decided, engineReadings = EngineReadings()).slowEngines,
        )
    }

    /** Entries 1 and up ask twice per second. Each reading is answered by [answer]. Returns the number of readings. */
    private fun askFor(
        milliseconds: Long,
        entries: Int,
        answer: (askedAt: Long) -> ControlEvent,
    ): Int {
        val before = group.readings(REPLICA).size
        repeat((milliseconds / ASKING_INTERVAL).toInt()) {
            for (link in 1L..entries) {
                val held = answers(link).lastOrNull()?.revision
                group.entry(REPLICA, link, EntryToControl.ListUpstreams(group.now, held), "entry-$link")
            }
            val read = group.readings(REPLICA).size
            group.run(ASKING_INTERVAL)
            group.readings(REPLICA).drop(read).forEach { group.deliver(REPLICA, answer(it.askedAt)) }
        }
        return group.readings(REPLICA).size - before
    }

    private fun listed(askedAt: Long) = ControlEvent.UpstreamsListed(askedAt, upstreams)

    private fun failed(askedAt: Long) = ControlEvent.UpstreamsListed(askedAt, upstreams = null)

    private fun answers(link: Long): List<ControlToEntry.UpstreamList> =
        group.sent(REPLICA, link).filterIsInstance<ControlToEntry.UpstreamList>()

    private companion object {
        const val REPLICA = "control-1"
        const val ASKING_INTERVAL = 500L
    }
}
