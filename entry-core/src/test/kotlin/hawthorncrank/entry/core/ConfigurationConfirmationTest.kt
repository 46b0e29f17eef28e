package hawthorncrank.entry.core

import hawthorncrank.entry.core.RoutedScenario.Companion.AT_MOST_ONCE
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Tests that an entry that is cut off from control does not accept API keys that have been revoked. */
class ConfigurationConfirmationTest {
    private val scenario = RoutedScenario()

    @Test
    fun `without a recent confirmation every request is refused as not run`() {
        scenario.passUnconfirmed(RoutedScenario.CONFIRMATION_LIFETIME)
        scenario.call(1, AT_MOST_ONCE).start()
        scenario.passUnconfirmed(100)
        assertIs<Refusal.ConfigurationUnconfirmed>(scenario.call(2, AT_MOST_ONCE).refusal())
    }

    /** A confirmation that arrives late must not be valid for longer than one that arrives at once. */
    @Test
    fun `the age of a confirmation counts from the time of its question`() {
        val asked = lastQuestion()
        scenario.passUnconfirmed(4_000)
        scenario.control(ControlToEntry.ConfigurationConfirmed(asked, 5))
        scenario.passUnconfirmed(asked + RoutedScenario.CONFIRMATION_LIFETIME - scenario.now)
        scenario.call(1, AT_MOST_ONCE).start()
        scenario.passUnconfirmed(100)
        assertIs<Refusal.ConfigurationUnconfirmed>(scenario.call(2, AT_MOST_ONCE).refusal())
    }

    /** A key may have been revoked while the machine was suspended. */
    @Test
    fun `a suspension ages the last confirmation and the answer to a question from before it`() {
        val asked = lastQuestion()
        val suspended = scenario.send(EntryEvent.MachineSuspended(4_600))
        assertEquals(1, suspended.toControl<EntryToControl.ConfirmConfiguration>().size)
        assertIs<Refusal.ConfigurationUnconfirmed>(scenario.call(1, AT_MOST_ONCE).refusal())
        scenario.control(ControlToEntry.ConfigurationConfirmed(asked, 5))
        assertIs<Refusal.ConfigurationUnconfirmed>(scenario.call(2, AT_MOST_ONCE).refusal())
        scenario.control(ControlToEntry.ConfigurationConfirmed(asked + 4_600, 5))
        scenario.call(3, AT_MOST_ONCE).start()
    }

    /** A step of the time of day looks like a suspension and must not end what others wait for. */
    @Test
    fun `a suspension ends neither requests nor the time for which an upstream is held off`() {
        val held = scenario.call(1, AT_MOST_ONCE, finishBy = scenario.now + 2_000).start()
        val running = scenario.call(2, AT_MOST_ONCE, finishBy = scenario.now + 2_000).start()
        scenario.end(held.attemptNumber, AttemptEnd.Rejected(2_000, concernsUpstream = true))
        val after = scenario.send(EntryEvent.MachineSuspended(2_400)) + scenario.pass(1_000)
        assertEquals(emptyList(), after.of<EntryEffect.CancelAttempt>())
        assertNotEquals(held.upstream, scenario.call(3, AT_MOST_ONCE).start().upstream)
        val ended = scenario.pass(1_100).of<EntryEffect.CancelAttempt>()
        assertEquals(1, ended.count { it.attemptNumber == running.attemptNumber })
    }

    /** An entry would use a revoked key, or after a cut an older configuration, for too long. */
    @Test
    fun `a confirmation expires before the revocation time and the contact time have passed`() {
        assertEquals(3_600, confirmationLifetime(keyRevocation = 5_000, contactTime = 4_000))
        assertEquals(3_600, confirmationLifetime(keyRevocation = 4_000, contactTime = 5_000))
        assertEquals(4_500, confirmationLifetime(keyRevocation = 5_000, contactTime = null))
        assertEquals(null, confirmationLifetime(keyRevocation = null, contactTime = 4_000))
    }

    @Test
    fun `a confirmation of a newer version does not confirm the one in force`() {
        scenario.passUnconfirmed(4_400)
        scenario.control(ControlToEntry.ConfigurationConfirmed(scenario.now, 6))
        scenario.passUnconfirmed(200)
        assertIs<Refusal.ConfigurationUnconfirmed>(scenario.call(1, AT_MOST_ONCE).refusal())
    }

    /** A replica without the configuration, such as one of another group, says that version 0 is the newest. */
    @Test
    fun `a confirmation of an older version does not confirm the one in force`() {
        scenario.passUnconfirmed(4_400)
        scenario.control(ControlToEntry.ConfigurationConfirmed(scenario.now, 0))
        scenario.control(ControlToEntry.ConfigurationConfirmed(scenario.now, 4))
        scenario.passUnconfirmed(200)
        assertIs<Refusal.ConfigurationUnconfirmed>(scenario.call(1, AT_MOST_ONCE).refusal())
    }

    /** Keys that the group of this entry's configuration has revoked would stay in use. */
    @Test
    fun `a confirmation from another group does not confirm the configuration in force`() {
        scenario.control(ControlToEntry.ConfigurationConfirmed(scenario.now, 5, group = "own"))
        scenario.passUnconfirmed(4_400)
        val other = scenario.control(ControlToEntry.ConfigurationConfirmed(scenario.now, 5, group = "other"))
        assertEquals(listOf(1504), other.of<EntryEffect.RecordEvent>().map { it.event.number })
        scenario.passUnconfirmed(200)
        assertIs<Refusal.ConfigurationUnconfirmed>(scenario.call(1, AT_MOST_ONCE).refusal())
        scenario.control(ControlToEntry.ConfigurationConfirmed(scenario.now, 5, group = "own"))
        scenario.call(2, AT_MOST_ONCE).start()
    }

    @Test
    fun `readiness depends on a valid confirmation`() {
        val lost = scenario.passUnconfirmed(5_000).of<EntryEffect.ReadinessChanged>()
        assertEquals(listOf(false), lost.map { it.ready })
        val regained = scenario.pass(1_000).of<EntryEffect.ReadinessChanged>()
        assertEquals(listOf(true), regained.map { it.ready })
    }

    @Test
    fun `a stopping entry still serves requests for a short time and then refuses them`() {
        val stopped = scenario.send(EntryEvent.StopRequested)
        assertEquals(listOf(false), stopped.of<EntryEffect.ReadinessChanged>().map { it.ready })
        scenario.pass(2_900)
        val late = scenario.call(1, AT_MOST_ONCE).start()
        val passed = scenario.pass(200)
        assertIs<Refusal.Stopping>(scenario.call(2, AT_MOST_ONCE).refusal())
        assertTrue(passed.none { it == EntryEffect.Terminate }, "the entry terminates with a request in flight")
        scenario.end(late.attemptNumber, completed())
        assertTrue(EntryEffect.Terminate in scenario.send(EntryEvent.AnswerDelivered(1)))
    }

    /** When the entry last asked for a confirmation, which it does every 500 ms. */
    private fun lastQuestion(): Long =
        scenario
            .passUnconfirmed(500)
            .toControl<EntryToControl.ConfirmConfiguration>()
            .last()
            .question
}
