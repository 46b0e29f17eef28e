package hawthorncrank.entry.core

import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Tests that a claimed call runs at most once. Each test covers one way in which a call could run twice or its caller
 * could be given a wrong outcome.
 */
class ClaimsTest {
    private val outcome = CallOutcome.Answered(201, "text/plain", "done".encodeToByteArray(), "digest")
    private val answered = AttemptEnd.Completed(201, 0, 4, outcome)

    @Test
    fun `nothing is dispatched before the claim is granted`() {
        val scenario = Scenario()
        val arrival = scenario.order(1)
        assertEquals(emptyList(), arrival.starts())
        val start = scenario.control(scenario.answer(arrival.claimRequest(), ClaimDecision.Granted(41))).start()
        assertEquals(41, start.claimNumber)
        assertTrue(start.freshConnection)
    }

    @Test
    fun `an answer is withheld until its outcome record is committed`() {
        val scenario = Scenario()
        val start = scenario.grantedOrder(1)
        val ended = scenario.end(start.attemptNumber, answered)
        assertEquals(emptyList(), ended.of<EntryEffect.ReleaseAnswer>())
        assertEquals(outcome, ended.toControl<EntryToControl.OutcomeRecord>().single().outcome)
        val recorded = scenario.control(ControlToEntry.OutcomeRecorded(Scenario.KEY, 41))
        assertEquals(EntryEffect.ReleaseAnswer(1, recorded = true), recorded.of<EntryEffect.ReleaseAnswer>().single())
    }

    @Test
    fun `an answer is sent as pending after two seconds and its record is resent until acknowledged`() {
        val scenario = Scenario()
        val start = scenario.grantedOrder(1)
        scenario.end(start.attemptNumber, answered)
        assertEquals(emptyList(), scenario.pass(1_900).of<EntryEffect.ReleaseAnswer>())
        assertEquals(
            false,
            scenario
                .pass(100)
                .of<EntryEffect.ReleaseAnswer>()
                .single()
                .recorded,
        )
        assertTrue(scenario.pass(5_000).toControl<EntryToControl.OutcomeRecord>().size >= 4)
        scenario.control(ControlToEntry.OutcomeRecorded(Scenario.KEY, 41))
        assertEquals(emptyList(), scenario.pass(5_000).toControl<EntryToControl.OutcomeRecord>())
    }

    @Test
    fun `an interrupted call is recorded and reported as unknown and is not retried`() {
        for (end in listOf(broken(), AttemptEnd.TimedOut(TimeoutPhase.FIRST_BYTE, 0, 0))) {
            val scenario = Scenario(listOf(service("s1"), service("s2")))
            val ended = scenario.end(scenario.grantedOrder(1).attemptNumber, end)
            assertEquals(emptyList(), ended.starts())
            assertEquals(CallOutcome.Unknown, ended.toControl<EntryToControl.OutcomeRecord>().single().outcome)
            val refusal = scenario.control(ControlToEntry.OutcomeRecorded(Scenario.KEY, 41)).refusal()
            assertEquals(StatedOutcome.UNKNOWN, refusal.outcome)
        }
    }

    @Test
    fun `a call whose connection could not be opened goes to another upstream under the same claim`() {
        val scenario = Scenario(listOf(service("s1"), service("s2")))
        val first = scenario.grantedOrder(1)
        val second = scenario.end(first.attemptNumber, AttemptEnd.NotConnected).start()
        assertTrue(second.upstream != first.upstream)
        assertEquals(41, second.claimNumber)
    }

    @Test
    fun `a call that the upstream rejected gives up its claim and is reported as not run`() {
        val scenario = Scenario()
        val ended = scenario.end(scenario.grantedOrder(1).attemptNumber, AttemptEnd.Rejected(700))
        assertEquals(StatedOutcome.NOT_RUN, ended.refusal().outcome)
        assertEquals(700, ended.refusal().retryAfterMilliseconds)
        assertEquals(1, ended.toControl<EntryToControl.ClaimAbandon>().size)
    }

    @Test
    fun `a claim that is granted too late is abandoned until acknowledged and never dispatched`() {
        val scenario = Scenario()
        val asked = scenario.order(1).claimRequest()
        val waited = scenario.pass(4_000)
        assertEquals(Refusal.ControlUnavailable, waited.refusal())
        assertTrue(waited.toControl<EntryToControl.ClaimAbandon>().isNotEmpty())
        scenario.control(ControlToEntry.ClaimAbandoned(asked.key, asked.attemptIdentifier))
        val late = scenario.control(scenario.answer(asked, ClaimDecision.Granted(41)))
        assertEquals(emptyList(), late.starts())
        assertEquals(asked.attemptIdentifier, late.toControl<EntryToControl.ClaimAbandon>().single().attemptIdentifier)
        assertTrue(scenario.pass(3_000).toControl<EntryToControl.ClaimAbandon>().size >= 2)
        scenario.control(ControlToEntry.ClaimAbandoned(asked.key, asked.attemptIdentifier))
        assertEquals(emptyList(), scenario.pass(3_000).toControl<EntryToControl.ClaimAbandon>())
    }

    @Test
    fun `the claim of a caller that disconnects before the grant is abandoned`() {
        val scenario = Scenario()
        val asked = scenario.order(1).claimRequest()
        assertEquals(1, scenario.send(EntryEvent.CallerLeft(1)).toControl<EntryToControl.ClaimAbandon>().size)
        assertEquals(emptyList(), scenario.control(scenario.answer(asked, ClaimDecision.Granted(41))).starts())
    }

    @Test
    fun `a caller that disconnects after dispatch does not stop the call and its outcome is recorded`() {
        val scenario = Scenario()
        val start = scenario.grantedOrder(1)
        assertEquals(emptyList(), scenario.send(EntryEvent.CallerLeft(1)).of<EntryEffect.CancelAttempt>())
        val ended = scenario.end(start.attemptNumber, answered)
        assertEquals(outcome, ended.toControl<EntryToControl.OutcomeRecord>().single().outcome)
        assertEquals(emptyList(), scenario.pass(3_000).of<EntryEffect.ReleaseAnswer>())
    }

    @Test
    fun `a call that could not be sent and whose caller disconnected gives up its claim and is not retried`() {
        val scenario = Scenario(listOf(service("s1"), service("s2")))
        val start = scenario.grantedOrder(1)
        scenario.send(EntryEvent.CallerLeft(1))
        val ended = scenario.end(start.attemptNumber, AttemptEnd.NotConnected)
        assertEquals(emptyList(), ended.starts())
        assertEquals(1, ended.toControl<EntryToControl.ClaimAbandon>().size)
    }

    @Test
    fun `a repeated grant after the call ended never abandons its claim`() {
        val scenario = Scenario()
        val asked = scenario.order(1).claimRequest()
        val granted = scenario.answer(asked, ClaimDecision.Granted(41))
        scenario.end(scenario.control(granted).start().attemptNumber, answered)
        scenario.control(ControlToEntry.OutcomeRecorded(Scenario.KEY, 41))
        val repeated = scenario.control(granted)
        assertEquals(emptyList(), repeated.toControl<EntryToControl.ClaimAbandon>() + scenario.pass(2_000).starts())
    }

    @Test
    fun `a new control link resends the claim request under the same identifier`() {
        val scenario = Scenario()
        val asked = scenario.order(1).claimRequest()
        scenario.send(EntryEvent.ControlLinkClosed)
        assertEquals(asked, scenario.send(EntryEvent.ControlLinkOpened).claimRequest())
    }

    @Test
    fun `without control a non-idempotent call is refused as not run while idempotent calls continue`() {
        val scenario = Scenario()
        scenario.send(EntryEvent.ControlLinkClosed)
        scenario.order(1)
        assertNotNull(scenario.model(2).start())
        val waited = scenario.pass(4_000)
        assertEquals(Refusal.ControlUnavailable, waited.refusal())
        assertEquals(emptyList(), waited.toControl<EntryToControl.ClaimAbandon>())
    }

    @Test
    fun `resends get the state or the answer of the first call`() {
        val cases =
            mapOf(
                ClaimDecision.HeldByOther("b", 3) to 409,
                ClaimDecision.DigestMismatch to 422,
                ClaimDecision.OutcomeUnknown(3) to 502,
                ClaimDecision.Unavailable to 503,
            )
        cases.forEach { (decision, status) ->
            val scenario = Scenario()
            val effects = scenario.control(scenario.answer(scenario.order(1).claimRequest(), decision))
            assertEquals(status, effects.refusal().status)
            assertEquals(0, scenario.requestsInProgress)
        }
        val scenario = Scenario()
        val finished = scenario.answer(scenario.order(1).claimRequest(), ClaimDecision.Finished(outcome))
        assertEquals(
            201,
            scenario
                .control(finished)
                .of<EntryEffect.ReplayAnswer>()
                .single()
                .status,
        )
    }

    @Test
    fun `a call without a key is refused with a message that names the header`() {
        val refusal = Scenario().order(1, key = null).refusal()
        assertEquals(400, refusal.status)
        assertIs<Refusal.IdempotencyKeyMissing>(refusal)
        assertTrue("Idempotency-Key" in refusal.message)
    }
}
