package hawthorncrank.entry.core

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Tests graceful stops, explanations and measurements. */
class LifecycleTest {
    @Test
    fun `a stop first ends readiness and terminates after queued and running requests have finished`() {
        val scenario = Scenario(listOf(engine("e1", slots = 1)))
        val started = (1L..6L).flatMap { scenario.model(it).starts() }
        assertTrue(started.size < 6)
        val stop = scenario.send(EntryEvent.StopRequested)
        assertFalse(stop.of<EntryEffect.ReadinessChanged>().single().ready)
        assertEquals(Refusal.Stopping, scenario.model(7).refusal())
        val running = ArrayDeque(started)
        var terminations = 0
        var answered = 0
        while (running.isNotEmpty()) {
            val next = running.removeFirst()
            val ended = scenario.end(next.attemptNumber, completed())
            running.addAll(ended.starts())
            answered++
            val delivered = scenario.send(EntryEvent.AnswerDelivered(next.requestNumber))
            running.addAll(delivered.starts())
            terminations += delivered.of<EntryEffect.Terminate>().size
        }
        assertEquals(6 to 1, answered to terminations)
    }

    @Test
    fun `a stop waits a limited time for outcome records`() {
        val scenario = Scenario()
        val start = scenario.grantedOrder(1)
        scenario.send(EntryEvent.StopRequested)
        scenario.end(start.attemptNumber, AttemptEnd.Completed(200, 0, 0, null))
        scenario.pass(2_000)
        assertEquals(emptyList(), scenario.send(EntryEvent.AnswerDelivered(1)).of<EntryEffect.Terminate>())
        assertEquals(emptyList(), scenario.pass(9_000).of<EntryEffect.Terminate>())
        assertEquals(1, scenario.pass(2_000).of<EntryEffect.Terminate>().size)
    }

    @Test
    fun `idle connections are closed once, when new requests begin to be refused`() {
        val scenario = RoutedScenario()
        val stopped = scenario.send(EntryEvent.StopRequested) + scenario.pass(2_900)
        assertFalse(EntryEffect.CloseIdleConnections in stopped)
        val refusing = scenario.pass(200)
        assertEquals(1, refusing.count { it == EntryEffect.CloseIdleConnections })
        assertTrue(
            refusing.indexOf(EntryEffect.CloseIdleConnections) < refusing.indexOf(EntryEffect.Terminate),
            refusing.toString(),
        )
        assertFalse(EntryEffect.CloseIdleConnections in scenario.pass(1_000))
    }

    @Test
    fun `a request that no upstream has taken is refused before a stopping process is killed`() {
        val scenario = RoutedScenario(listOf(listedEngine("e1")))
        val finishBy = scenario.now + 30_000
        val started = (1L..40L).flatMap { scenario.stream(it, RoutedScenario.RESUMABLE, finishBy).starts() }
        assertTrue(started.size < 40)
        scenario.send(EntryEvent.StopRequested)
        assertEquals(emptyList(), scenario.pass(6_900).of<EntryEffect.RefuseCaller>())
        val refused = scenario.pass(200).of<EntryEffect.RefuseCaller>()
        assertEquals(40 - started.size, refused.size)
        assertEquals(setOf<Refusal>(Refusal.Stopping), refused.map { it.refusal }.toSet())
    }

    @Test
    fun `decisions on the newest requests are explained and those on old requests are discarded`() {
        val scenario = Scenario()
        scenario.model(1)
        val lines = explain(scenario, "a-1")
        assertTrue(lines.any { "arrived" in it } && lines.any { "was sent to" in it }, lines.toString())
        assertEquals(lines, explain(scenario, "1"))
        scenario.send(EntryEvent.StopRequested)
        (2L..10_001L).forEach { scenario.model(it) }
        assertEquals(emptyList(), explain(scenario, "1"))
        assertTrue(explain(scenario, "2").isNotEmpty())
        assertEquals(emptyList(), explain(scenario, "unknown"))
    }

    private fun explain(
        scenario: Scenario,
        request: String,
    ): List<String> {
        val effects = scenario.control(ControlToEntry.ExplainQuestion(3, request))
        return effects.toControl<EntryToControl.ExplainAnswer>().single().lines
    }

    @Test
    fun `the complete answer is compared with the targets of its class`() {
        val results =
            listOf(1_000L, 3_000L).map { delay ->
                val scenario = Scenario()
                val start = scenario.model(1).start()
                scenario.now += delay
                scenario.send(EntryEvent.AttemptFirstByte(start.attemptNumber))
                scenario.end(start.attemptNumber, completed())
                val measured = scenario.send(EntryEvent.AnswerDelivered(1)).of<EntryEffect.Measure>()
                assertIs<Measurement.RequestEnded>(measured.single().measurement)
            }
        assertEquals(listOf(true, false), results.map { it.targetsMet })
        assertEquals(listOf<Long?>(1_000, 3_000), results.map { it.firstByte })
    }
}
