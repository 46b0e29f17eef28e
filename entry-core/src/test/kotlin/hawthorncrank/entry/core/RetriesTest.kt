package hawthorncrank.entry.core

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Tests that answers are never mixed from several attempts and that retries are limited. */
class RetriesTest {
    @Test
    fun `a stream that times out before its first byte is restarted on another upstream`() {
        val scenario = Scenario()
        val first = scenario.model(1).start()
        val second = scenario.end(first.attemptNumber, AttemptEnd.TimedOut(TimeoutPhase.FIRST_BYTE, 0, 0)).start()
        assertTrue(second.upstream != first.upstream && second.attemptNumber != first.attemptNumber)
    }

    /**
     * An unstreamed answer sends no byte before it is complete, so a long one must not run into the first-byte timeout.
     */
    @Test
    fun `an unstreamed answer may take until its deadline`() {
        val scenario = Scenario()
        val unstreamed = scenario.model(1, streamed = false, finishBy = scenario.now + 90_000).start()
        val streamed = scenario.model(2, finishBy = scenario.now + 90_000).start()
        assertEquals(90_000, unstreamed.timeouts.firstByte)
        assertTrue(streamed.timeouts.firstByte < 90_000)
    }

    @Test
    fun `a stream that breaks after its first byte ends with an error`() {
        val scenario = Scenario()
        val start = scenario.model(1).start()
        scenario.send(EntryEvent.AttemptFirstByte(start.attemptNumber))
        val ended = scenario.end(start.attemptNumber, broken(bytes = 40))
        assertEquals(1, ended.of<EntryEffect.AbortStream>().single().requestNumber)
        assertEquals(emptyList(), ended.starts())
    }

    @Test
    fun `a broken stream resumes on the same engine if the engine supports it`() {
        val scenario = Scenario(listOf(engine("e1", resumes = true), engine("e2", resumes = true)))
        val start = scenario.model(1).start()
        scenario.send(EntryEvent.AttemptFirstByte(start.attemptNumber))
        val resumed = scenario.end(start.attemptNumber, broken(bytes = 40)).start()
        assertEquals(ResumePoint(start.attemptNumber, 40), resumed.resume)
        assertEquals(start.upstream, resumed.upstream)
        val failed = scenario.end(resumed.attemptNumber, AttemptEnd.NotConnected)
        assertEquals(1, failed.of<EntryEffect.AbortStream>().size)
    }

    /** Streams must not be cut off because engines dropped more connections than the retry budget allows. */
    @Test
    fun `all streams whose engines dropped their connections resume`() {
        val scenario = Scenario((1..12).map { engine("e$it", resumes = true) })
        val starts = (1L..12L).map { scenario.model(it).start() }
        starts.forEach { scenario.send(EntryEvent.AttemptFirstByte(it.attemptNumber)) }
        val resumed = starts.map { scenario.end(it.attemptNumber, broken(bytes = 40)).start() }
        assertEquals(starts.map { it.upstream }, resumed.map { it.upstream })
        assertTrue(resumed.all { it.resume?.bytesDelivered == 40L })
    }

    @Test
    fun `retries stop when the budget is used up`() {
        val scenario = Scenario((1..20).map { engine("e$it") })
        val outcomes =
            (1L..6L).map { number ->
                val start = scenario.model(number).start()
                scenario.end(start.attemptNumber, AttemptEnd.Rejected(500))
            }
        assertEquals(3, outcomes.count { it.starts().isNotEmpty() })
        assertIs<Refusal.Overloaded>(outcomes.last().refusal())
        scenario.now += 11_000
        val later = scenario.model(9).start()
        assertEquals(1, scenario.end(later.attemptNumber, AttemptEnd.Rejected(500)).starts().size)
    }

    @Test
    fun `a refusal after an attempt that may have run does not report it as not run`() {
        val scenario = Scenario(listOf(engine("e1")))
        val timedOut = AttemptEnd.TimedOut(TimeoutPhase.FIRST_BYTE, 0, 0)
        var effects = scenario.end(scenario.model(1).start().attemptNumber, timedOut)
        while (effects.of<EntryEffect.RefuseCaller>().isEmpty()) {
            scenario.pass(1_000)
            val returned = scenario.send(EntryEvent.ProbeAnswered("e1", reachable = true))
            effects = scenario.end(returned.start().attemptNumber, timedOut)
        }
        assertEquals(StatedOutcome.UNKNOWN, effects.refusal().outcome)
    }

    @Test
    fun `reports about a cancelled attempt only count its tokens as wasted`() {
        val scenario = Scenario()
        val start = scenario.model(1).start()
        val left = scenario.send(EntryEvent.CallerLeft(1))
        assertEquals(CancelReason.CALLER_LEFT, left.of<EntryEffect.CancelAttempt>().single().reason)
        val ended = scenario.end(start.attemptNumber, completed())
        val wasted = ended.of<EntryEffect.Measure>().map { it.measurement }
        assertEquals(Measurement.TokensWasted("quick", 10, CancelReason.CALLER_LEFT), wasted.single())
        assertEquals(emptyList(), scenario.end(start.attemptNumber, completed()))
    }

    @Test
    fun `an attempt carries the time left and its timeouts`() {
        val scenario = Scenario()
        val start = scenario.model(1, finishBy = scenario.now + 60_000).start()
        assertEquals(60_000, start.deadlineMilliseconds)
        assertEquals(UpstreamTimeouts(1_000, 10_000, 10_000), start.timeouts)
        assertNull(start.resume)
        val slowClass = trafficClass("quick", 1).copy(firstToken = hawthorncrank.common.Milliseconds(5_000))
        val patient = Scenario(classes = listOf(slowClass)).model(1).start()
        assertEquals(20_000, patient.timeouts.firstByte)
    }

    @Test
    fun `an attempt without a first byte is cancelled when its deadline has passed`() {
        val scenario = Scenario()
        scenario.model(1, finishBy = scenario.now + 30_000)
        val passed = scenario.pass(30_000)
        assertEquals(CancelReason.DEADLINE, passed.of<EntryEffect.CancelAttempt>().single().reason)
        assertEquals(StatedOutcome.UNKNOWN, passed.refusal().outcome)
    }

    @Test
    fun `a request whose first byte arrives during its preemption gets no other attempt`() {
        val scenario = Scenario(listOf(engine("e1", slots = 1)))
        // Each class also owns a floor slot, so that the shared slot is contested only by the third and later ones.
        val started = (1L..2L).flatMap { scenario.model(it, className = "patient").starts() }
        val pushed = (3L..5L).flatMap { scenario.model(it, className = "quick") }.of<EntryEffect.CancelAttempt>()
        val preempted = pushed.single { it.reason == CancelReason.PREEMPTED }
        val number = started.single { it.attemptNumber == preempted.attemptNumber }.requestNumber
        val crossed = scenario.send(EntryEvent.AttemptFirstByte(preempted.attemptNumber))
        assertEquals(number, crossed.of<EntryEffect.AbortStream>().single().requestNumber)
        assertTrue((crossed + scenario.pass(5_000)).starts().none { it.requestNumber == number })
    }
}
