package hawthorncrank.entry.core

import hawthorncrank.common.Milliseconds
import hawthorncrank.entry.core.RoutedScenario.Companion.RESUMABLE
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EngineClassDemand
import hawthorncrank.protocol.EngineScaling
import hawthorncrank.protocol.EntryToControl
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests what an entry reports of its callers' demand. Wrong demand orders engines that nobody needs, or too few. */
class EngineDemandTest {
    private val scaling = EngineScaling(1, 9, Milliseconds(4_000), 0.2, mapOf("zone" to 1.0))
    private val scenario = RoutedScenario(listOf(listedEngine("e1"), listedService("s1")), scaling = scaling)

    /** Replicas of other deployments have no use for the messages. */
    @Test
    fun `nothing is sent while no service has limits`() {
        val unlimited = RoutedScenario()
        unlimited.control(ControlToEntry.EngineDemandWanted)
        unlimited.stream(1, RESUMABLE)
        assertEquals(emptyList(), unlimited.pass(5_000).toControl<EntryToControl.EngineDemand>())
    }

    /** Replicas that order no engines have no use for the messages either, though the services have limits. */
    @Test
    fun `nothing is sent before control asks for it, nor to the next replica that does not`() {
        scenario.stream(1, RESUMABLE)
        assertEquals(emptyList(), reports(5_000))
        want()
        assertEquals(1, reports(1_000).size)
        scenario.send(EntryEvent.ControlLinkClosed)
        scenario.send(EntryEvent.ControlLinkOpened)
        assertEquals(emptyList(), reports(5_000))
    }

    @Test
    fun `the demand of each class is sent once a second`() {
        want()
        scenario.stream(1, RESUMABLE, promptTokens = 4_000)
        scenario.stream(2, RESUMABLE, promptTokens = 2_000, className = "patient")
        scenario.stream(3, RESUMABLE, promptTokens = 2_000, className = "patient")
        assertEquals(emptyList(), reports(900))
        val classes = reports(100).single().sortedBy { it.tier }
        assertEquals(
            listOf(demand(tier = 1, share = 0.2, running = 1), demand(tier = 4, share = 0.2, running = 2)),
            classes,
        )
        assertEquals(3, reports(3_000).size)
    }

    /** A prompt that is counted twice would order an engine for work that is done. */
    @Test
    fun `prompts count in one report and streams while they run`() {
        want()
        val attempt = scenario.stream(1, RESUMABLE, promptTokens = 4_000).start().attemptNumber
        assertEquals(listOf(demand(tier = 1, share = 0.2, running = 1)), reports(1_000).single())
        assertEquals(listOf(demand(tier = 1, share = 0.0, running = 1)), reports(1_000).single())
        scenario.end(attempt, completed())
        scenario.send(EntryEvent.AnswerDelivered(1))
        assertEquals(emptyList(), reports(1_000).single())
    }

    /** Engines that are all busy take no prompt, so what waits is all that tells how many are missing. */
    @Test
    fun `prompts that wait for an engine are reported with their prefill time`() {
        val busy = RoutedScenario(listOf(listedEngine("e1").copy(slots = 1)), scaling = scaling)
        busy.control(ControlToEntry.EngineDemandWanted)
        listOf(4_000, 2_000, 6_000).forEachIndexed { index, tokens ->
            busy.stream(index + 1L, RESUMABLE, promptTokens = tokens)
        }
        val waiting = demand(tier = 1, share = 0.2, running = 1).copy(waitingMilliseconds = 400.0)
        val reported = busy.pass(1_000).toControl<EntryToControl.EngineDemand>().single()
        assertEquals(listOf(waiting), reported.classes)
    }

    /** Prompts of a time without a link must not look like a burst when the link is back. */
    @Test
    fun `what was not sent is not added to the next report`() {
        want()
        scenario.send(EntryEvent.ControlLinkClosed)
        scenario.stream(1, RESUMABLE, promptTokens = 4_000)
        assertEquals(emptyList(), reports(1_000))
        scenario.send(EntryEvent.ControlLinkOpened)
        want()
        assertEquals(listOf(demand(tier = 1, share = 0.0, running = 1)), reports(1_000).single())
    }

    @Test
    fun `calls of services without limits are not reported`() {
        want()
        scenario.call(1, RESUMABLE)
        assertEquals(emptyList(), reports(1_000).single())
    }

    private fun want() = scenario.control(ControlToEntry.EngineDemandWanted)

    private fun reports(milliseconds: Long): List<List<EngineClassDemand>> =
        scenario.pass(milliseconds).toControl<EntryToControl.EngineDemand>().map { it.classes }

    /** The estimated speed of an engine is 20 tokens in a millisecond before any answer. */
    private fun demand(
        tier: Int,
        share: Double,
        running: Int,
    ) = EngineClassDemand("model", "1800-null", tier, 1_800, share, running, waitingMilliseconds = 0.0)
}
