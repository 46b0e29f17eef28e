package hawthorncrank.entry.core

import hawthorncrank.entry.core.RoutedScenario.Companion.IDEMPOTENT
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests to an upstream that said in an answer that it leaves, before the platform's list shows it. */
class LeavingAnnouncementTest {
    private val scenario = RoutedScenario()
    private val listed = listOf(listedService("s1"), listedService("s2"))

    @Test
    fun `an upstream that announced that it leaves gets no new work while its list entry is still ready`() {
        announce("s1")
        scenario.send(EntryEvent.UpstreamsListed(listed))
        assertEquals(setOf("s2"), startedOn(1L..6L))
        scenario.pass(60_000)
        assertEquals(setOf("s2"), startedOn(11L..16L))
    }

    @Test
    fun `an older list that lacks the upstream does not remove the mark`() {
        announce("s1")
        scenario.send(EntryEvent.UpstreamsListed(listOf(listedService("s2"))))
        scenario.send(EntryEvent.UpstreamsListed(listed))
        assertEquals(setOf("s2"), startedOn(1L..6L))
    }

    @Test
    fun `requests that wait and requests whose attempt failed go to another upstream`() {
        val scenario = RoutedScenario(listOf(listedService("s1")))
        val start = scenario.call(1, IDEMPOTENT).start()
        scenario.send(EntryEvent.UpstreamAnnouncedLeaving("s1", start.address))
        assertEquals(emptyList(), scenario.call(2, IDEMPOTENT).starts())
        assertEquals(emptyList(), scenario.end(start.attemptNumber, AttemptEnd.Rejected(null)).starts())
        val started = scenario.send(EntryEvent.UpstreamsListed(listed)).starts()
        assertEquals(setOf(1L to "s2", 2L to "s2"), started.map { it.requestNumber to it.upstream }.toSet())
    }

    @Test
    fun `the mark ends when the upstream is listed at another address`() {
        announce("s1")
        val restarted = listedService("s1").copy(address = "127.0.0.1:3")
        scenario.send(EntryEvent.UpstreamsListed(listOf(restarted, listedService("s2"))))
        assertTrue("s1" in startedOn(1L..6L))
    }

    /** Its answer may arrive after the platform's list has shown the next start. */
    @Test
    fun `an answer from the earlier address does not mark the next start of the upstream`() {
        val restarted = listedService("s1").copy(address = "127.0.0.1:3")
        scenario.send(EntryEvent.UpstreamsListed(listOf(restarted, listedService("s2"))))
        announce("s1")
        assertTrue("s1" in startedOn(1L..6L))
    }

    @Test
    fun `work in flight continues and one log line names the source of the mark`() {
        scenario.call(1, IDEMPOTENT)
        scenario.call(2, IDEMPOTENT)
        val effects = announce("s1") + announce("s1")
        assertEquals(emptyList(), effects.of<EntryEffect.CancelAttempt>())
        val line = effects.of<EntryEffect.RecordEvent>().single { it.event.number == 1512 }
        assertEquals("an answer of the upstream", line.fields["source"])
    }

    private fun announce(name: String) =
        scenario.send(EntryEvent.UpstreamAnnouncedLeaving(name, listedService(name).address))

    private fun startedOn(numbers: LongRange) =
        numbers.flatMap { scenario.call(it, IDEMPOTENT).starts() }.map { it.upstream }.toSet()
}
