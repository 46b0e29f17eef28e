package hawthorncrank.entry.core

import hawthorncrank.entry.core.RoutedScenario.Companion.AT_MOST_ONCE
import hawthorncrank.entry.core.RoutedScenario.Companion.IDEMPOTENT
import hawthorncrank.entry.core.RoutedScenario.Companion.RESUMABLE
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.UsageCount
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Tests that an entry counts each request that an upstream began to run once, in its window of true time. */
class UsageTest {
    private val scenario = RoutedScenario()

    /** Entries of deployments without usage reports must send nothing that their replicas do not know. */
    @Test
    fun `nothing is sent before control asks for it, nor to the next replica that does not`() {
        begin(scenario.call(1, AT_MOST_ONCE))
        assertEquals(emptyList(), counts(scenario.pass(2_000)))
        want()
        assertEquals(listOf(UsageCount(200, "lumen", 1)), cells(scenario.pass(300)))
        scenario.send(EntryEvent.ControlLinkClosed)
        scenario.send(EntryEvent.ControlLinkOpened)
        assertEquals(emptyList(), counts(scenario.pass(2_000)))
    }

    @Test
    fun `a request that is retried counts once, at its first beginning`() {
        want()
        val first = begin(scenario.stream(1, RESUMABLE))
        val second = scenario.end(first, broken(bytes = 50)).start().attemptNumber
        scenario.now += 6_000
        scenario.send(EntryEvent.AttemptFirstByte(second))
        scenario.end(second, completed())
        assertEquals(listOf(UsageCount(200, "lumen", 1)), cells(scenario.pass(300)))
    }

    @Test
    fun `a request that no upstream ran does not count`() {
        want()
        val first = scenario.call(1, IDEMPOTENT).start().attemptNumber
        val second = scenario.end(first, AttemptEnd.Rejected(null)).start().attemptNumber
        scenario.send(EntryEvent.AttemptFirstByte(second, failed = true, accepted = false))
        scenario.end(second, AttemptEnd.Completed(502, 0, 10, null, accepted = false))
        assertEquals(emptyList(), cells(scenario.pass(1_000)))
    }

    @Test
    fun `an answer without a body and a stream that broke inside its first event count`() {
        want()
        scenario.end(scenario.call(1, AT_MOST_ONCE).start().attemptNumber, completed())
        scenario.end(scenario.stream(2, AT_MOST_ONCE).start().attemptNumber, broken(bytes = 7))
        assertEquals(listOf(UsageCount(200, "lumen", 2)), cells(scenario.pass(300)))
    }

    /** The first token was on its way when the attempt was cancelled. */
    @Test
    fun `a request that begins after its caller left counts`() {
        want()
        val attempt = scenario.stream(1, RESUMABLE).start().attemptNumber
        scenario.send(EntryEvent.CallerLeft(1))
        scenario.send(EntryEvent.AttemptFirstByte(attempt))
        scenario.end(attempt, AttemptEnd.Cancelled(1))
        assertEquals(listOf(UsageCount(200, "lumen", 1)), cells(scenario.pass(2_500)))
    }

    /** A wrong time would move these requests to another window. */
    @Test
    fun `requests that begin before true time is known count by their own time`() {
        begin(scenario.call(1, AT_MOST_ONCE))
        skip(5_000)
        begin(scenario.call(2, AT_MOST_ONCE))
        want()
        assertEquals(listOf(UsageCount(200, "lumen", 1), UsageCount(201, "lumen", 1)), cells(scenario.pass(300)))
    }

    @Test
    fun `after a suspension only answers to later questions tell the time`() {
        want()
        val before = counts(scenario.pass(1_100)).last().question
        scenario.now += 20
        val asked = counts(scenario.send(EntryEvent.MachineSuspended(5_000))).single()
        assertEquals(null, asked.trueTime)
        answer(before, 0)
        scenario.control(ControlToEntry.ConfigurationConfirmed(scenario.now + 5_000, 5))
        begin(scenario.call(1, AT_MOST_ONCE))
        assertEquals(emptyList(), cells(scenario.pass(100)))
        answer(asked.question, scenario.now + 5_000)
        assertEquals(listOf(UsageCount(201, "lumen", 1)), cells(scenario.pass(300)))
    }

    /** An answer that waited for this process would move the windows by its delay. */
    @Test
    fun `the answer with the shortest round trip decides`() {
        want()
        val asked = scenario.now
        scenario.now += 120
        answer(asked, asked)
        val trueTime = counts(scenario.pass(2_000)).last()
        assertEquals(trueTime.question, trueTime.trueTime)
    }

    @Test
    fun `what was not recorded is sent again on a new link`() {
        want()
        begin(scenario.call(1, AT_MOST_ONCE))
        assertEquals(1, cells(scenario.pass(300)).size)
        scenario.control(ControlToEntry.UsageRecorded(listOf(UsageCount(200, "lumen", 1))))
        begin(scenario.call(2, AT_MOST_ONCE))
        assertEquals(listOf(UsageCount(200, "lumen", 2)), cells(scenario.pass(300)))
        scenario.send(EntryEvent.ControlLinkOpened)
        scenario.control(ControlToEntry.UsageWanted(5_000))
        assertEquals(listOf(UsageCount(200, "lumen", 2)), cells(scenario.pass(100)))
        scenario.control(ControlToEntry.UsageRecorded(listOf(UsageCount(200, "lumen", 2))))
        scenario.send(EntryEvent.ControlLinkOpened)
        scenario.control(ControlToEntry.UsageWanted(5_000))
        assertEquals(emptyList(), cells(scenario.pass(1_000)))
    }

    @Test
    fun `the last counts are sent before the entry terminates and their recording is awaited for a second`() {
        want()
        val attempt = begin(scenario.call(1, AT_MOST_ONCE))
        scenario.send(EntryEvent.StopRequested)
        scenario.pass(3_100)
        scenario.control(ControlToEntry.UsageRecorded(listOf(UsageCount(200, "lumen", 1))))
        val late = scenario.end(attempt, completed()) + scenario.send(EntryEvent.AnswerDelivered(1))
        assertTrue(EntryEffect.Terminate in late)
        assertEquals(listOf(UsageCount(200, "lumen", 1)), stopWithUnrecorded())
    }

    private fun stopWithUnrecorded(): List<UsageCount> {
        val other = UsageTest()
        other.want()
        other.scenario.send(EntryEvent.StopRequested)
        val attempt =
            other.scenario
                .call(1, AT_MOST_ONCE)
                .start()
                .attemptNumber
        other.scenario.pass(3_000)
        other.scenario.now += 50
        other.begin(attempt)
        val ended = other.scenario.end(attempt, completed()) + other.scenario.send(EntryEvent.AnswerDelivered(1))
        assertFalse(EntryEffect.Terminate in ended)
        assertTrue(EntryEffect.Terminate in other.scenario.pass(1_100))
        return other.cells(ended)
    }

    /** The oldest windows are forgotten, so that an entry that is cut off does not grow. */
    @Test
    fun `at most 64 windows are kept`() {
        want()
        scenario.send(EntryEvent.ControlLinkClosed)
        repeat(70) {
            scenario.end(begin(scenario.call(it + 1L, AT_MOST_ONCE)), completed())
            scenario.send(EntryEvent.AnswerDelivered(it + 1L))
            skip(5_000)
        }
        scenario.send(EntryEvent.ControlLinkOpened)
        scenario.control(ControlToEntry.UsageWanted(5_000))
        assertEquals((206L..269L).toList(), cells(scenario.pass(100)).map { it.window })
    }

    /** True time is the scenario's time, which is at the begin of window 200. */
    private fun want() {
        scenario.control(ControlToEntry.UsageWanted(5_000))
        val asked = counts(scenario.send(EntryEvent.Tick)).single().question
        answer(asked, asked)
    }

    /** Lets time pass after which the configuration is confirmed at once. */
    private fun skip(milliseconds: Long) {
        scenario.now += milliseconds
        scenario.control(ControlToEntry.ConfigurationConfirmed(scenario.now, 5))
    }

    private fun answer(
        question: Long,
        trueTime: Long,
    ) = scenario.control(ControlToEntry.UsageTime(question, trueTime))

    private fun begin(effects: List<EntryEffect>): Long = effects.start().attemptNumber.also(::begin)

    private fun begin(attempt: Long) {
        scenario.send(EntryEvent.AttemptFirstByte(attempt))
    }

    private fun counts(effects: List<EntryEffect>) = effects.toControl<EntryToControl.UsageCounts>()

    private fun cells(effects: List<EntryEffect>) = counts(effects).flatMap { it.cells }
}
