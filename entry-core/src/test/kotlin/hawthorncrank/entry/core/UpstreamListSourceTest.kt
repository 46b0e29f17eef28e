package hawthorncrank.entry.core

import hawthorncrank.entry.core.RoutedScenario.Companion.IDEMPOTENT
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.revision
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Guards against hundreds of entries that all ask the platform for its list, and against an entry that no longer learns
 * which upstreams leave because it relies on control.
 */
class UpstreamListSourceTest {
    private val listed = listOf(listedService("s1"), listedService("s2"))
    private val scenario = RoutedScenario(listed, listFromControl = true)

    @Test
    fun `an entry does not ask the platform while control sends the list`() {
        val effects = (1..20).flatMap { passAndAnswer(age = 900) }
        assertEquals(emptyList(), effects.of<EntryEffect.PollUpstreamList>())
        assertEquals(listed.revision(), effects.toControl<EntryToControl.ListUpstreams>().last().heldRevision)
    }

    @Test
    fun `an entry reads the list itself when control is silent, and stops when control answers again`() {
        val silent = scenario.pass(2_100)
        assertEquals(listOf(true), silent.of<EntryEffect.PollUpstreamList>().map { it.enabled })
        assertEquals(1, silent.of<EntryEffect.RecordEvent>().count { it.event.number == 1514 })
        val answered = passAndAnswer(age = 200) + scenario.pass(100)
        assertEquals(listOf(false), answered.of<EntryEffect.PollUpstreamList>().map { it.enabled })
    }

    /** A delayed answer would otherwise make an old list seem new. */
    @Test
    fun `the age of the list counts from the question`() {
        val question = question()
        scenario.pass(1_000)
        answer(question, age = 100)
        val effects = scenario.pass(900)
        assertEquals(listOf(true), effects.of<EntryEffect.PollUpstreamList>().map { it.enabled })
    }

    @Test
    fun `a list that control sends replaces the one held, and an older one does not`() {
        val question = question()
        answer(question, age = 0, listOf(listedService("s1", leaving = true), listedService("s2")))
        assertEquals("s2", scenario.call(1, IDEMPOTENT).start().upstream)
        answer(question, age = 1_000, listed)
        assertEquals("s2", scenario.call(2, IDEMPOTENT).start().upstream)
    }

    /** An entry that loses control reads the list itself, and would send urgent streams to slow engines again. */
    @Test
    fun `slow engines stay known when the entry reads the list itself`() {
        val engines = listOf(listedEngine("e1"), listedEngine("e2"))
        answer(question(), age = 0, engines.map { if (it.name == "e1") it.copy(slowdown = 2.0) else it })
        scenario.send(EntryEvent.UpstreamsListed(engines))
        assertEquals(mapOf("e1" to 2.0), scenario.slowdowns)
        answer(question(), age = 0, engines)
        assertEquals(emptyMap(), scenario.slowdowns)
    }

    /** A replica that restarted, or another one, may have a list that this entry has not. */
    @Test
    fun `an answer without a list does not confirm another list than the one held`() {
        val question = question()
        scenario.control(ControlToEntry.UpstreamList(question, revision = 7, age = 0))
        val effects = scenario.pass(2_000)
        assertTrue(effects.of<EntryEffect.PollUpstreamList>().single().enabled)
    }

    @Test
    fun `answers with impossible times are ignored`() {
        scenario.control(ControlToEntry.UpstreamList(scenario.now + 5_000, 7, age = 0, emptyList()))
        scenario.control(ControlToEntry.UpstreamList(scenario.now, 7, age = -5_000, emptyList()))
        assertNotNull(scenario.call(1, IDEMPOTENT).starts().singleOrNull())
    }

    private fun question(): Long =
        scenario
            .pass(600)
            .toControl<EntryToControl.ListUpstreams>()
            .last()
            .question

    private fun passAndAnswer(age: Long): List<EntryEffect> {
        val effects = scenario.pass(500)
        return effects + effects.toControl<EntryToControl.ListUpstreams>().flatMap { answer(it.question, age) }
    }

    private fun answer(
        question: Long,
        age: Long,
        upstreams: List<ListedUpstream>? = null,
    ) = scenario.control(ControlToEntry.UpstreamList(question, (upstreams ?: listed).revision(), age, upstreams))
}
