package hawthorncrank.entry.core

import hawthorncrank.entry.core.RoutedScenario.Companion.AT_MOST_ONCE
import hawthorncrank.entry.core.RoutedScenario.Companion.IDEMPOTENT
import hawthorncrank.entry.core.RoutedScenario.Companion.RESUMABLE
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Tests how the retry policy of a route is applied to its requests. */
class RoutedRequestsTest {
    private val scenario = RoutedScenario()

    /** A booking must not run twice because its answer was lost. */
    @Test
    fun `an at-most-once call is not sent again after it may have run`() {
        val start = scenario.call(1, AT_MOST_ONCE).start()
        assertTrue(start.freshConnection)
        val ended = scenario.end(start.attemptNumber, broken())
        assertEquals(emptyList(), ended.starts())
        assertEquals(StatedOutcome.UNKNOWN, ended.refusal().outcome)
    }

    @Test
    fun `an at-most-once call is refused as not run when the upstream rejected it`() {
        val start = scenario.call(1, AT_MOST_ONCE).start()
        val ended = scenario.end(start.attemptNumber, AttemptEnd.Rejected(300))
        assertEquals(StatedOutcome.NOT_RUN, assertIs<Refusal.Overloaded>(ended.refusal()).outcome)
    }

    /** On the same connection, a repeated answer to the first attempt would be taken for the answer to the second one. */
    @Test
    fun `a request goes to the same address again only on a new connection`() {
        val scenario = RoutedScenario(listOf(listedService("s1")))
        val start = scenario.call(1, AT_MOST_ONCE.copy(maximumAttempts = 2)).start()
        val second = scenario.end(start.attemptNumber, AttemptEnd.Rejected(null)).start()
        assertEquals(false to true, start.newConnection to second.newConnection)
        assertEquals(false, scenario.call(2, AT_MOST_ONCE).start().newConnection)
    }

    /** An unreachable upstream must not use up the only attempt of a request. */
    @Test
    fun `an attempt that reached no upstream does not count towards the limit`() {
        val start = scenario.call(1, AT_MOST_ONCE).start()
        val second = scenario.end(start.attemptNumber, AttemptEnd.NotConnected).start()
        assertNotEquals(start.upstream, second.upstream)
    }

    @Test
    fun `a call with a server error is retried once on another upstream, and then the error goes to the caller`() {
        val start = scenario.call(1, IDEMPOTENT).start()
        val second = scenario.end(start.attemptNumber, failure()).start()
        assertNotEquals(start.upstream, second.upstream)
        val ended = scenario.end(second.attemptNumber, failure())
        assertEquals(1, ended.of<EntryEffect.ReleaseAnswer>().single().requestNumber)
        assertEquals(emptyList(), ended.starts())
    }

    @Test
    fun `a server error of an at-most-once call goes to the caller at once`() {
        val start = scenario.call(1, AT_MOST_ONCE).start()
        val ended = scenario.end(start.attemptNumber, failure())
        assertEquals(emptyList(), ended.starts())
        assertEquals(emptyList(), ended.of<EntryEffect.RefuseCaller>())
    }

    /** A long answer must not be cut off because its engine fails. */
    @Test
    fun `a resumable stream resumes on another engine after the last event`() {
        val start = scenario.stream(1, RESUMABLE).start()
        scenario.send(EntryEvent.AttemptFirstByte(start.attemptNumber))
        val resumed = scenario.end(start.attemptNumber, broken(bytes = 40)).start()
        assertNotEquals(start.upstream, resumed.upstream)
        assertEquals(ResumePoint(start.attemptNumber, 40), resumed.resume)
        val ended = scenario.end(resumed.attemptNumber, broken(bytes = 10))
        assertEquals(1, ended.of<EntryEffect.AbortStream>().size, "the stream was sent to a third engine")
    }

    /** A stream must not run a second time while its first run may still continue unnoticed. */
    @Test
    fun `a stream that may not be resumed ends with an error when its engine breaks it`() {
        val start = scenario.stream(1, AT_MOST_ONCE).start()
        scenario.send(EntryEvent.AttemptFirstByte(start.attemptNumber))
        val ended = scenario.end(start.attemptNumber, broken(bytes = 40))
        assertEquals(1, ended.of<EntryEffect.AbortStream>().size)
        assertEquals(emptyList(), ended.starts())
    }

    @Test
    fun `a stream ends soon after its deadline`() {
        val start = scenario.stream(1, AT_MOST_ONCE, finishBy = scenario.now + 1_000).start()
        scenario.send(EntryEvent.AttemptFirstByte(start.attemptNumber))
        val passed = scenario.pass(1_500)
        assertEquals(CancelReason.DEADLINE, passed.of<EntryEffect.CancelAttempt>().single().reason)
        assertEquals(1, passed.of<EntryEffect.AbortStream>().size)
    }

    @Test
    fun `every request on a route logs one line with its identifier and the reason of its result`() {
        val start = scenario.call(1, AT_MOST_ONCE).start()
        val lines =
            scenario.end(start.attemptNumber, broken()).of<EntryEffect.RecordEvent>().filter { it.event.number == 1542 }
        assertEquals("attempt-1", lines.single().fields["request"])
        assertEquals(Refusal.NonIdempotentInterrupted.problem, lines.single().fields["reason"])
    }

    /** Progress is reported a few times a second only, so the last report may lack the newest events. */
    @Test
    fun `the end of a broken attempt is logged with all that it produced`() {
        val start = scenario.stream(1, RESUMABLE).start()
        scenario.send(EntryEvent.AttemptFirstByte(start.attemptNumber))
        scenario.send(EntryEvent.AttemptProgress(start.attemptNumber, tokens = 9, bytes = 30))
        val ended = scenario.end(start.attemptNumber, AttemptEnd.Broken(tokens = 12, bytes = 40))
        val line = ended.of<EntryEffect.RecordEvent>().single { it.event.number == 1541 }
        assertEquals(12, line.fields["tokens"])
    }

    /** The log must show what the entry knew when it placed an attempt, and how old that knowledge was. */
    @Test
    fun `every attempt on a route logs a line with its identifier, its upstream and the age of the list`() {
        scenario.pass(300)
        val sent = scenario.call(1, AT_MOST_ONCE)
        val line = sent.of<EntryEffect.RecordEvent>().single { it.event.number == 1543 }
        assertEquals("attempt-1", line.fields["request"])
        assertEquals(sent.start().upstream, line.fields["upstream"])
        assertEquals(300L, line.fields["list_age"])
        assertEquals(10_000L, line.fields["time_left"])
    }

    @Test
    fun `a refusal without a recent confirmation logs the age of the confirmation`() {
        scenario.passUnconfirmed(RoutedScenario.CONFIRMATION_LIFETIME + 100)
        val line = scenario.call(1, AT_MOST_ONCE).of<EntryEffect.RecordEvent>().single { it.event.number == 1542 }
        assertEquals(RoutedScenario.CONFIRMATION_LIFETIME + 100, line.fields["proof_age"])
    }

    @Test
    fun `an upstream that is leaving or no longer listed gets no new work`() {
        scenario.send(EntryEvent.UpstreamsListed(listOf(listedService("s1", leaving = true), listedService("s3"))))
        repeat(5) { assertEquals("s3", scenario.call(it.toLong(), AT_MOST_ONCE).start().upstream) }
    }

    private fun failure() = AttemptEnd.Completed(500, 0, 10, null)

    /** Guards against an upstream that is gone but rejects at once, and so looks like the fastest one. */
    @Test
    fun `an upstream at whose address another one answers gets no more requests until it is listed elsewhere`() {
        val gone = scenario.stream(1, RESUMABLE).start()
        val other = scenario.end(gone.attemptNumber, AttemptEnd.Misdirected).start()
        assertNotEquals(gone.upstream, other.upstream)
        scenario.pass(3_000)
        scenario.send(EntryEvent.ProbeAnswered(gone.upstream, reachable = true))
        (2L..4L).forEach { assertEquals(other.upstream, scenario.stream(it, RESUMABLE).start().upstream) }
        val listed = listOf(listedEngine("e1"), listedEngine("e2")).map { it.copy(address = "127.0.0.1:9") }
        scenario.send(EntryEvent.UpstreamsListed(listed))
        val later = (10L..13L).map { scenario.stream(it, RESUMABLE).start().upstream }
        assertTrue(gone.upstream in later, "the upstream is not used at its new address")
    }

    /** Guards against an upstream that is never used again because the list was late with a new address of it. */
    @Test
    fun `an upstream whose address was taken is tried again after a while`() {
        val gone = scenario.stream(1, RESUMABLE).start()
        scenario.end(gone.attemptNumber, AttemptEnd.Misdirected)
        scenario.pass(10_500)
        val later = (10L..13L).map { scenario.stream(it, RESUMABLE).start().upstream }
        assertTrue(gone.upstream in later, "the upstream is never used again")
    }

    /** Guards against refusals while most upstreams work, because several others refuse connections. */
    @Test
    fun `a request goes on to other upstreams while connections are refused at once`() {
        val many = RoutedScenario((1..8).map { listedEngine("e$it") })
        var start = many.stream(1, AT_MOST_ONCE).start()
        repeat(6) { start = many.end(start.attemptNumber, AttemptEnd.NotConnected).start() }
        many.send(EntryEvent.AttemptFirstByte(start.attemptNumber))
        val completed = AttemptEnd.Completed(200, 5, 50, null)
        assertEquals(emptyList(), many.end(start.attemptNumber, completed).of<EntryEffect.RefuseCaller>())
    }

    @Test
    fun `a request is refused after three upstreams did not accept a connection in time`() {
        val many = RoutedScenario((1..8).map { listedEngine("e$it") })
        var effects = many.stream(1, AT_MOST_ONCE)
        repeat(3) {
            val start = effects.start()
            many.pass(1_000)
            effects = many.end(start.attemptNumber, AttemptEnd.TimedOut(TimeoutPhase.CONNECT, 0, 0))
        }
        assertEquals(StatedOutcome.NOT_RUN, effects.refusal().outcome)
    }
}
