package hawthorncrank.entry.core

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.ZoneMessage
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Tests that upstreams that are leaving, drained, unlisted, unreachable or timing out get no new work. */
class MembershipTest {
    private val both = setOf("e1", "e2")

    private fun startedOn(
        scenario: Scenario,
        numbers: LongRange = 100L..119L,
    ) = numbers.flatMap { scenario.model(it).starts() }.map { it.upstream }.toSet()

    @Test
    fun `every kind of leaving mark stops new work at once and does not cancel work in flight`() {
        val marks =
            listOf<(Scenario) -> List<EntryEffect>>(
                { it.send(EntryEvent.MembershipReported(both, leaving = setOf("e1"))) },
                { it.send(EntryEvent.MembershipReported(setOf("e2"), leaving = emptySet())) },
                { it.control(ControlToEntry.DrainUpdate(1, listOf("e1"))) },
                { it.zone(ZoneMessage.LeavingNotice("b", "e1")) },
            )
        marks.forEach { mark ->
            val scenario = Scenario()
            scenario.model(1)
            scenario.model(2)
            assertEquals(emptyList(), mark(scenario).of<EntryEffect.CancelAttempt>())
            assertEquals(setOf("e2"), startedOn(scenario))
        }
    }

    @Test
    fun `a leaving mark of the platform is forwarded to the zone`() {
        val reported = Scenario().send(EntryEvent.MembershipReported(both, leaving = setOf("e1")))
        assertEquals(listOf("e1"), reported.toZone<ZoneMessage.LeavingNotice>().map { it.upstream })
    }

    @Test
    fun `three failed connections exclude an upstream and its probes back off until it answers`() {
        val scenario = Scenario(listOf(engine("e1"), service("s1")))
        val first = scenario.model(1).start()
        val second = scenario.end(first.attemptNumber, AttemptEnd.NotConnected).start()
        val third = scenario.end(second.attemptNumber, AttemptEnd.TimedOut(TimeoutPhase.CONNECT, 0, 0)).start()
        assertEquals(emptyList(), scenario.end(third.attemptNumber, AttemptEnd.NotConnected).starts())
        val began = scenario.now
        val probes = mutableListOf<Long>()
        while (scenario.now < began + 100_000) {
            scenario.pass(100).of<EntryEffect.ProbeUpstream>().forEach {
                probes.add(scenario.now - began)
                scenario.send(EntryEvent.ProbeAnswered(it.upstream, reachable = false))
            }
        }
        assertEquals(listOf<Long>(1_000, 3_000, 7_000, 15_000, 31_000, 61_000, 91_000), probes)
        scenario.send(EntryEvent.ProbeAnswered("e1", reachable = true))
        assertEquals(setOf("e1"), startedOn(scenario))
    }

    @Test
    fun `an upstream that timed out gets no work until it answers a probe`() {
        val scenario = Scenario()
        val start = scenario.model(1).start()
        scenario.end(start.attemptNumber, AttemptEnd.TimedOut(TimeoutPhase.FIRST_BYTE, 0, 0))
        assertEquals(both - start.upstream, startedOn(scenario, 100L..104L))
        assertEquals(
            start.upstream,
            scenario
                .pass(1_000)
                .of<EntryEffect.ProbeUpstream>()
                .single()
                .upstream,
        )
        scenario.send(EntryEvent.ProbeAnswered(start.upstream, reachable = true))
        assertTrue(start.upstream in startedOn(scenario, 200L..219L))
    }

    @Test
    fun `a new entry starts no attempt before it knows which upstreams are leaving`() {
        val scenario = Scenario(started = false)
        scenario.send(EntryEvent.ControlLinkOpened)
        scenario.control(ControlToEntry.ConfigurationUpdate(5, scenario.configuration, confirmed = true))
        assertEquals(emptyList(), (scenario.model(1) + scenario.pass(1_000)).starts())
        val listed = scenario.send(EntryEvent.MembershipReported(both, leaving = setOf("e1")))
        assertEquals("e2", listed.start().upstream)
    }

    @Test
    fun `a request waits for an upstream to become available and is then refused`() {
        val scenario = Scenario(listOf(engine("e1"), service("s1")))
        scenario.send(EntryEvent.MembershipReported(setOf("s1"), emptySet()))
        assertEquals(emptyList(), scenario.model(1).of<EntryEffect.RefuseCaller>())
        val waited = scenario.pass(10_000)
        assertIs<Refusal.NoUpstream>(waited.refusal())
        assertTrue(waited.starts().isEmpty())
    }
}
