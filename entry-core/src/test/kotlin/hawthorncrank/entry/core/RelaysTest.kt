package hawthorncrank.entry.core

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.Relay
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * Guards against callers that are served far worse at an entry whose machine cannot reach the upstreams. Its connections
 * to them hang until their timeouts, while other entries reach the same upstreams.
 */
class RelaysTest {
    private val scenario = RoutedScenario(relayAddress = "127.0.0.1:9")

    @Test
    fun `requests wait for upstreams that only other entries reach`() {
        cutOff()
        val started = scenario.stream(10, RoutedScenario.RESUMABLE).starts().single()
        assertEquals("near" to true, started.upstream to started.relayed)
        scenario.send(EntryEvent.AttemptFirstByte(started.attemptNumber))
        val ended = scenario.end(started.attemptNumber, AttemptEnd.Completed(200, 20, 400, null))
        assertTrue(ended.none { it is EntryEffect.RefuseCaller || it is EntryEffect.StartAttempt })
    }

    @Test
    fun `requests that wait when the machine loses its upstreams stay there`() {
        val first = scenario.stream(1, RoutedScenario.RESUMABLE).starts().single()
        scenario.now += 1_000
        val probed = scenario.end(first.attemptNumber, AttemptEnd.NotConnected) + scenario.pass(100)
        val upstreams = probed.filterIsInstance<EntryEffect.ProbeUpstream>().map { it.upstream }
        assertEquals(setOf("e1", "e2", "s1", "s2") - first.upstream, upstreams.toSet())
        assertEquals(listOf(true), listRelays().starts().map { it.relayed })
    }

    @Test
    fun `an engine that is silent for a second sets off relaying`() {
        val first = scenario.stream(1, RoutedScenario.RESUMABLE).starts().single()
        val other = scenario.stream(2, RoutedScenario.RESUMABLE).starts().single()
        scenario.now += 900
        scenario.send(EntryEvent.AttemptFirstByte(other.attemptNumber))
        scenario.now += 100
        listRelays()
        val effects = scenario.end(first.attemptNumber, AttemptEnd.NotConnected) + scenario.pass(500)
        assertEquals(listOf(false), effects.starts().map { it.relayed })
        assertTrue(effects.none { it is EntryEffect.ProbeUpstream && it.upstream != first.upstream })
    }

    @Test
    fun `a relayed request is sent on to a third entry`() {
        cutOff()
        val effects = scenario.stream(10, RoutedScenario.RESUMABLE, relayed = true)
        assertEquals(Refusal.CannotRelay, effects.filterIsInstance<EntryEffect.RefuseCaller>().single().refusal)
    }

    @Test
    fun `a request ends because the nearest entry is cut off as well`() {
        cutOff()
        val first = scenario.call(10, RoutedScenario.AT_MOST_ONCE).starts().single()
        val second = scenario.end(first.attemptNumber, AttemptEnd.Misdirected).starts().single()
        assertEquals(listOf("near", "far"), listOf(first, second).map { it.upstream })
    }

    @Test
    fun `a request that may run once is sent to a second entry after the first one broke off`() {
        cutOff()
        val first = scenario.call(10, RoutedScenario.AT_MOST_ONCE).starts().single()
        val effects = scenario.end(first.attemptNumber, AttemptEnd.Broken(0, 0))
        val refusal = effects.filterIsInstance<EntryEffect.RefuseCaller>().single().refusal
        assertEquals(StatedOutcome.UNKNOWN, refusal.outcome)
    }

    @Test
    fun `a stream breaks off because its relay does`() {
        cutOff()
        val first = scenario.stream(10, RoutedScenario.RESUMABLE).starts().single()
        scenario.send(EntryEvent.AttemptFirstByte(first.attemptNumber))
        val second = scenario.end(first.attemptNumber, AttemptEnd.Broken(8, 160)).starts().single()
        assertEquals(true, second.relayed)
        assertEquals(160, second.resume?.bytesDelivered)
    }

    @Test
    fun `requests are relayed after the upstreams are back`() {
        cutOff()
        listOf("e1", "e2", "s1", "s2").forEach { scenario.send(EntryEvent.ProbeAnswered(it, reachable = true)) }
        assertEquals(listOf(false), scenario.stream(10, RoutedScenario.RESUMABLE).starts().map { it.relayed })
    }

    @Test
    fun `engines that only this machine cannot reach are reported as crashed`() {
        val other = scenario.stream(2, RoutedScenario.RESUMABLE).starts().single()
        cutOff()
        val effects =
            scenario.end(other.attemptNumber, AttemptEnd.Broken(0, 0)) +
                scenario.send(EntryEvent.ProbeAnswered(other.upstream, reachable = false))
        assertTrue(effects.toControl<EntryToControl.CrashReport>().isEmpty())
    }

    private fun cutOff() {
        val first = scenario.stream(1, RoutedScenario.RESUMABLE).starts().single()
        scenario.now += 1_000
        val asked = scenario.end(first.attemptNumber, AttemptEnd.NotConnected)
        scenario.pass(100)
        listOf("e1", "e2", "s1", "s2").forEach { scenario.send(EntryEvent.ProbeAnswered(it, reachable = false)) }
        assertIs<EntryToControl.ListRelays>(asked.toControl<EntryToControl.ListRelays>().first())
        listRelays()
        scenario.send(EntryEvent.CallerLeft(1))
    }

    private fun listRelays() =
        scenario.control(ControlToEntry.RelayList(listOf(Relay("far", "other", "1:1"), Relay("near", "zone", "1:2"))))

    private fun List<EntryEffect>.starts() = filterIsInstance<EntryEffect.StartAttempt>()
}
