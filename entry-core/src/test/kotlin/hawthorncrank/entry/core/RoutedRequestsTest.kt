package hawthorncrank.entry.core

import hawthorncrank.entry.core.RoutedScenario.Companion.IDEMPOTENT
import hawthorncrank.entry.core.RoutedScenario.Companion.ONCE
import hawthorncrank.entry.core.RoutedScenario.Companion.RESUMABLE
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Guards what a route promises about repeating a request. */
class RoutedRequestsTest {
    private val scenario = RoutedScenario()

    /** Guards against a booking that runs twice because its answer was lost. */
    @Test
    fun `a call that may run once is not sent again after it may have run`() {
        val start = scenario.call(1, ONCE).start()
        assertTrue(start.freshConnection)
        val ended = scenario.end(start.attemptNumber, broken())
        assertEquals(emptyList(), ended.starts())
        assertEquals(StatedOutcome.UNKNOWN, ended.refusal().outcome)
    }

    @Test
    fun `a call that may run once is refused as not run when the upstream did not begin`() {
        val start = scenario.call(1, ONCE).start()
        val ended = scenario.end(start.attemptNumber, AttemptEnd.Rejected(300))
        assertEquals(StatedOutcome.NOT_RUN, assertIs<Refusal.Overloaded>(ended.refusal()).outcome)
    }

    /** Guards against a dead upstream that costs callers their one attempt. */
    @Test
    fun `an upstream that could not be reached does not count as an attempt`() {
        val start = scenario.call(1, ONCE).start()
        val second = scenario.end(start.attemptNumber, AttemptEnd.NotConnected).start()
        assertNotEquals(start.upstream, second.upstream)
    }

    @Test
    fun `a failure of an upstream is tried elsewhere once, and then given to the caller`() {
        val start = scenario.call(1, IDEMPOTENT).start()
        val second = scenario.end(start.attemptNumber, failure()).start()
        assertNotEquals(start.upstream, second.upstream)
        val ended = scenario.end(second.attemptNumber, failure())
        assertEquals(1, ended.of<EntryEffect.ReleaseAnswer>().single().requestNumber)
        assertEquals(emptyList(), ended.starts())
    }

    @Test
    fun `a failure of a call that may run once is given to the caller at once`() {
        val start = scenario.call(1, ONCE).start()
        val ended = scenario.end(start.attemptNumber, failure())
        assertEquals(emptyList(), ended.starts())
        assertEquals(emptyList(), ended.of<EntryEffect.RefuseCaller>())
    }

    /** Guards against long answers that are cut off with their engine. */
    @Test
    fun `a resumable stream goes on at another engine behind the last event`() {
        val start = scenario.stream(1, RESUMABLE).start()
        scenario.send(EntryEvent.AttemptFirstByte(start.attemptNumber))
        val resumed = scenario.end(start.attemptNumber, broken(bytes = 40)).start()
        assertNotEquals(start.upstream, resumed.upstream)
        assertEquals(ResumePoint(start.attemptNumber, 40), resumed.resume)
        val ended = scenario.end(resumed.attemptNumber, broken(bytes = 10))
        assertEquals(1, ended.of<EntryEffect.AbortStream>().size, "a third engine")
    }

    /** Guards against a second run of a stream whose first run may go on unseen. */
    @Test
    fun `a stream that may not be resumed breaks with its engine`() {
        val start = scenario.stream(1, ONCE).start()
        scenario.send(EntryEvent.AttemptFirstByte(start.attemptNumber))
        val ended = scenario.end(start.attemptNumber, broken(bytes = 40))
        assertEquals(1, ended.of<EntryEffect.AbortStream>().size)
        assertEquals(emptyList(), ended.starts())
    }

    @Test
    fun `a stream ends soon after its time is over`() {
        val start = scenario.stream(1, ONCE, finishBy = scenario.now + 1_000).start()
        scenario.send(EntryEvent.AttemptFirstByte(start.attemptNumber))
        val passed = scenario.pass(1_500)
        assertEquals(CancelReason.DEADLINE, passed.of<EntryEffect.CancelAttempt>().single().reason)
        assertEquals(1, passed.of<EntryEffect.AbortStream>().size)
    }

    @Test
    fun `every request on a route leaves one line with its identifier and its cause`() {
        val start = scenario.call(1, ONCE).start()
        val lines =
            scenario.end(start.attemptNumber, broken()).of<EntryEffect.RecordEvent>().filter { it.event.number == 1542 }
        assertEquals("attempt-1", lines.single().fields["request"])
        assertEquals(Refusal.NonIdempotentInterrupted.problem, lines.single().fields["reason"])
    }

    /** Guards against a placement that nobody can explain afterwards: what the entry knew, and how old that was. */
    @Test
    fun `every attempt on a route leaves a line with its identifier, its upstream and the age of the list`() {
        scenario.pass(300)
        val sent = scenario.call(1, ONCE)
        val line = sent.of<EntryEffect.RecordEvent>().single { it.event.number == 1543 }
        assertEquals("attempt-1", line.fields["request"])
        assertEquals(sent.start().upstream, line.fields["upstream"])
        assertEquals(300L, line.fields["list_age"])
        assertEquals(10_000L, line.fields["time_left"])
    }

    @Test
    fun `a refusal without a young proof says how old the proof was`() {
        scenario.passUnproved(RoutedScenario.PROOF_LIFETIME + 100)
        val line = scenario.call(1, ONCE).of<EntryEffect.RecordEvent>().single { it.event.number == 1542 }
        assertEquals(RoutedScenario.PROOF_LIFETIME + 100, line.fields["proof_age"])
    }

    @Test
    fun `a leaving upstream gets no new work and one that is gone from the list neither`() {
        scenario.send(EntryEvent.UpstreamsListed(listOf(listedService("s1", leaving = true), listedService("s3"))))
        repeat(5) { assertEquals("s3", scenario.call(it.toLong(), ONCE).start().upstream) }
    }

    private fun failure() = AttemptEnd.Completed(500, 0, 10, null)
}
