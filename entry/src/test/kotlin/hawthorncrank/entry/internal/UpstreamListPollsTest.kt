package hawthorncrank.entry.internal

import hawthorncrank.common.EventLog
import hawthorncrank.entry.UpstreamListing
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.protocol.ListedUpstream
import reactor.core.publisher.Mono
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class UpstreamListPollsTest {
    private val scheduler = VirtualScheduler()
    private val events = mutableListOf<EntryEvent>()
    private val recorded = mutableListOf<Int>()
    private val log = EventLog { event, _ -> recorded += event.number }
    private val upstreams = listOf(ListedUpstream("i-1", "s", "10.0.0.1:80", "z", slots = 6, leaving = false))

    /** A poll that ends with neither a value nor an error would be the last one. */
    @Test
    fun `a poll that never ends does not stop later polls`() {
        var polls = 0
        start { if (++polls == 2) Mono.never() else Mono.just(upstreams) }
        scheduler.advance(10_000)
        assertEquals(EntryEvent.UpstreamsListed(upstreams), events.last())
        assertEquals(polls - 1, events.size)
        assertEquals(
            listOf(EntryEventCode.UPSTREAM_LIST_UNAVAILABLE.number, EntryEventCode.UPSTREAM_LIST_RESTORED.number),
            recorded,
        )
        assertTrue(polls > 5, "$polls polls in 10 s")
    }

    /** An exception that is thrown instead of returned would end the polls. */
    @Test
    fun `a poll that throws does not stop later polls`() {
        var polls = 0
        start { if (++polls == 2) error("cannot start") else Mono.just(upstreams) }
        scheduler.advance(10_000)
        assertEquals(10, events.size)
    }

    /** Otherwise every entry of a large fleet would ask for a list that its control replica sends. */
    @Test
    fun `the platform is asked only while polls are enabled`() {
        val polls = start { Mono.just(upstreams) }
        scheduler.advance(2_000)
        polls.enabled = false
        val before = events.size
        scheduler.advance(10_000)
        assertEquals(before, events.size)
        polls.enabled = true
        scheduler.advance(1_000)
        assertEquals(before + 1, events.size)
    }

    private fun start(listing: UpstreamListing): UpstreamListPolls {
        val polls = UpstreamListPolls(listing, events::add, log, scheduler)
        polls.enabled = true
        polls.start()
        return polls
    }
}
