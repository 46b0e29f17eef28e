package hawthorncrank.entry.core

import hawthorncrank.entry.core.RoutedScenario.Companion.ONCE
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against an entry out of touch that serves keys which were taken away. */
class ProofTest {
    private val scenario = RoutedScenario()

    @Test
    fun `without a young proof every request is refused as not run`() {
        scenario.passUnproved(RoutedScenario.PROOF_LIFETIME)
        scenario.call(1, ONCE).start()
        scenario.passUnproved(100)
        assertIs<Refusal.ConfigurationUnconfirmed>(scenario.call(2, ONCE).refusal())
    }

    /** Guards against an answer that was long on its way and proves less than its arrival suggests. */
    @Test
    fun `a proof counts from the moment of asking`() {
        val asked =
            scenario
                .passUnproved(500)
                .toControl<EntryToControl.ConfirmConfiguration>()
                .last()
                .question
        scenario.passUnproved(4_000)
        scenario.control(ControlToEntry.ConfigurationConfirmed(asked, 5))
        scenario.passUnproved(asked + RoutedScenario.PROOF_LIFETIME - scenario.now)
        scenario.call(1, ONCE).start()
        scenario.passUnproved(100)
        assertIs<Refusal.ConfigurationUnconfirmed>(scenario.call(2, ONCE).refusal())
    }

    @Test
    fun `a proof for a newer version proves nothing about the one in force`() {
        scenario.passUnproved(4_400)
        scenario.control(ControlToEntry.ConfigurationConfirmed(scenario.now, 6))
        scenario.passUnproved(200)
        assertIs<Refusal.ConfigurationUnconfirmed>(scenario.call(1, ONCE).refusal())
    }

    @Test
    fun `readiness follows the proof`() {
        val lost = scenario.passUnproved(5_000).of<EntryEffect.ReadinessChanged>()
        assertEquals(listOf(false), lost.map { it.ready })
        val regained = scenario.pass(1_000).of<EntryEffect.ReadinessChanged>()
        assertEquals(listOf(true), regained.map { it.ready })
    }

    @Test
    fun `a stopping entry serves requests on their way and then refuses`() {
        val stopped = scenario.send(EntryEvent.StopRequested)
        assertEquals(listOf(false), stopped.of<EntryEffect.ReadinessChanged>().map { it.ready })
        scenario.pass(2_900)
        val late = scenario.call(1, ONCE).start()
        val passed = scenario.pass(200)
        assertIs<Refusal.Stopping>(scenario.call(2, ONCE).refusal())
        assertTrue(passed.none { it == EntryEffect.Terminate }, "the entry ends with a request in flight")
        scenario.end(late.attemptNumber, whole())
        assertTrue(EntryEffect.Terminate in scenario.send(EntryEvent.AnswerDelivered(1)))
    }
}
