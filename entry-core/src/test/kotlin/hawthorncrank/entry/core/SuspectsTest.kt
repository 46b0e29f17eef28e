package hawthorncrank.entry.core

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.Conviction
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ZoneMessage
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Tests that content that crashes engines is found and refused, and that other requests on these engines are not. */
class SuspectsTest {
    private val engines = (1..6).map { engine("e$it") }

    /** Reports all attempts on the engine as broken, one after the other. */
    private fun crash(
        scenario: Scenario,
        running: List<EntryEffect.StartAttempt>,
        engine: String,
    ): List<EntryEffect> = running.filter { it.upstream == engine }.flatMap { scenario.end(it.attemptNumber, broken()) }

    @Test
    fun `content that was alone on a crashed engine is retried once and convicted after the second crash`() {
        val scenario = Scenario(engines)
        val retried = scenario.end(scenario.model(1, "poison").start().attemptNumber, broken()).start()
        val convicted = scenario.end(retried.attemptNumber, broken())
        assertIs<Refusal.Convicted>(convicted.refusal())
        assertEquals(StatedOutcome.UNKNOWN, convicted.refusal().outcome)
        assertTrue(convicted.toControl<EntryToControl.SuspectReport>().single().convicted)
        assertTrue(convicted.toZone<ZoneMessage.SuspectNotice>().single().convicted)
        val resent = scenario.model(2, "poison").refusal()
        assertEquals(StatedOutcome.NOT_RUN to 422, resent.outcome to resent.status)
        assertEquals(1, scenario.model(3, "harmless").starts().size)
    }

    @Test
    fun `suspects of one crash are retried on separate engines and harmless ones do not use the retry budget`() {
        val scenario = Scenario(engines.take(1) + engines.drop(1).map { it.copy(leaving = true) })
        val running = (1L..5L).map { scenario.model(it).start() }
        scenario.control(ControlToEntry.ConfigurationUpdate(6, scenario.configuration.copy(upstreams = engines), true))
        val retried = crash(scenario, running, "e1").starts()
        assertEquals(5, retried.map { it.upstream }.distinct().size)
        assertEquals(5, retried.size)
        val crashing = retried.first { it.requestNumber == 3L }
        assertIs<Refusal.Convicted>(scenario.end(crashing.attemptNumber, broken()).refusal())
        retried.filter { it != crashing }.forEach { scenario.end(it.attemptNumber, completed()) }
        (listOf(1L, 2L, 4L, 5L)).forEach { scenario.send(EntryEvent.AnswerDelivered(it)) }
        assertEquals(0, scenario.requestsInProgress)
    }

    @Test
    fun `the only content common to two crashes is convicted and the other content is not`() {
        val scenario = Scenario(engines.take(2))
        val first =
            listOf(
                scenario.model(1, "poison"),
                scenario.model(2, "x"),
                scenario.model(3, "y"),
            ).map { it.start() }
        val engine = first[0].upstream
        val effects = crash(scenario, first, engine)
        scenario.send(EntryEvent.ProbeAnswered(engine, reachable = true))
        val retried = effects.starts().single { it.requestNumber == 1L }
        scenario.model(4, "z")
        val second = scenario.end(retried.attemptNumber, broken())
        assertIs<Refusal.Convicted>(second.refusal())
        val reports = second.toControl<EntryToControl.SuspectReport>()
        assertEquals(listOf("poison"), reports.filter { it.convicted }.map { it.contentDigest })
    }

    @Test
    fun `one content never crashes more than three engines even when many resends run at once`() {
        val scenario = Scenario(engines)
        val running = (1L..12L).flatMap { scenario.model(it, "poison").starts() }.toMutableList()
        var lost = 0
        while (running.isNotEmpty()) {
            val engine = running.first().upstream
            val here = running.filter { it.upstream == engine }
            running.removeAll(here)
            lost++
            running.addAll(crash(scenario, here, engine).starts())
        }
        assertTrue(lost <= 3, "$lost engines were lost")
        assertEquals(0, scenario.requestsInProgress)
    }

    @Test
    fun `convictions from control and from neighbours stop queued and running requests`() {
        val conviction = ControlToEntry.ConvictionUpdate(1, listOf(Conviction("poison", 2, 60_000)))
        val byControl = Scenario()
        byControl.model(1, "poison")
        val stopped = byControl.control(conviction)
        assertEquals(1, stopped.of<EntryEffect.CancelAttempt>().size)
        assertEquals(StatedOutcome.UNKNOWN, stopped.refusal().outcome)
        assertIs<Refusal.Convicted>(byControl.model(2, "poison").refusal())
        byControl.now += 60_000
        assertEquals(1, byControl.model(3, "poison").starts().size)
        val byZone = Scenario(zoneEntries = listOf("a", "b"))
        byZone.zone(ZoneMessage.SuspectNotice("b", "poison", 2, convicted = true))
        assertIs<Refusal.Convicted>(byZone.model(1, "poison").refusal())
    }

    @Test
    fun `a lifted conviction also clears the entry's own evidence`() {
        val scenario = Scenario(engines)
        val retried = scenario.end(scenario.model(1, "poison").start().attemptNumber, broken()).start()
        scenario.end(retried.attemptNumber, broken())
        scenario.control(ControlToEntry.ConvictionUpdate(1, listOf(Conviction("poison", 2, 3_600_000))))
        scenario.control(ControlToEntry.ConvictionUpdate(2, emptyList()))
        scenario.zone(ZoneMessage.SuspectNotice("b", "poison", 2, convicted = true))
        assertEquals(1, scenario.model(2, "poison").starts().size)
    }

    @Test
    fun `a conviction by this entry is reported again until control lists it`() {
        val scenario = Scenario(engines)
        val retried = scenario.end(scenario.model(1, "poison").start().attemptNumber, broken()).start()
        scenario.send(EntryEvent.ControlLinkClosed)
        scenario.end(retried.attemptNumber, broken())
        val reported = scenario.send(EntryEvent.ControlLinkOpened).toControl<EntryToControl.SuspectReport>()
        assertTrue(reported.single().convicted)
        scenario.control(ControlToEntry.ConvictionUpdate(1, listOf(Conviction("poison", 2, 3_600_000))))
        assertEquals(emptyList(), scenario.pass(10_000).toControl<EntryToControl.SuspectReport>())
    }
}
