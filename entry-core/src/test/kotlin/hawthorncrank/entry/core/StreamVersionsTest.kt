package hawthorncrank.entry.core

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against streams that are joined from two versions of the upstreams' software. Upstreams do not check what they
 * are asked to go on with.
 */
class StreamVersionsTest {
    private val old = listedEngine("old", software = "v1")
    private val new = (1..3).map { listedEngine("new-$it", software = "v1.1") }
    private val scenario = RoutedScenario(listOf(old) + new, separatesSoftware = true)

    @Test
    fun `a stream that broke off goes on at another version`() {
        val first = begin(1)
        val second = scenario.end(first.attemptNumber, AttemptEnd.Broken(8, 160)).starts().single()
        assertEquals(versionOf(first.upstream), versionOf(second.upstream))
    }

    @Test
    fun `a stream goes on at another version because its own has left`() {
        val first = (1L..20).map(::begin).first { it.upstream == "old" }
        scenario.send(EntryEvent.UpstreamsListed(new))
        val effects = scenario.end(first.attemptNumber, AttemptEnd.Broken(8, 160))
        assertEquals(emptyList(), effects.starts())
        assertTrue(effects.any { it is EntryEffect.AbortStream && it.requestNumber == first.requestNumber })
    }

    @Test
    fun `a caller takes up a stream at another version than control names`() {
        repeat(3) { number ->
            val question = resume(number + 10L).toControl<EntryToControl.FindStream>().single()
            val found = ControlToEntry.StreamFound(question.stream, "v1", ambiguous = false)
            assertEquals(listOf("old"), scenario.control(found).starts().map { it.upstream })
        }
    }

    @Test
    fun `a caller takes up a stream that several versions may have begun`() {
        resume(10)
        val effects = scenario.control(ControlToEntry.StreamFound("first-10", null, ambiguous = true))
        assertEquals(emptyList(), effects.starts())
        val refusal = effects.filterIsInstance<EntryEffect.RefuseCaller>().single().refusal
        assertEquals(StatedOutcome.NOT_RUN, refusal.outcome)
    }

    @Test
    fun `a caller cannot take up a stream while control does not answer`() {
        val single = RoutedScenario(new, separatesSoftware = true)
        single.pass(60_000)
        single.stream(10, RoutedScenario.RESUMABLE, resumption = StreamResumption("first"))
        assertEquals(1, single.pass(600).starts().size)
    }

    @Test
    fun `a caller that does not name its first attempt cannot take up a stream at an entry that has just started`() {
        val single = RoutedScenario(new, separatesSoftware = true)
        assertEquals(1, single.stream(10, RoutedScenario.RESUMABLE, resumption = StreamResumption(null)).starts().size)
    }

    @Test
    fun `a stream is joined while control does not answer and versions change`() {
        resume(10)
        val effects = scenario.pass(600)
        assertEquals(emptyList(), effects.starts())
        assertEquals(1, effects.filterIsInstance<EntryEffect.RefuseCaller>().size)
    }

    @Test
    fun `control does not learn which version began a stream`() {
        val first = scenario.stream(1, RoutedScenario.RESUMABLE).starts().single()
        val reported = scenario.send(EntryEvent.AttemptFirstByte(first.attemptNumber))
        val expected = EntryToControl.StreamBegan("attempt-1", versionOf(first.upstream))
        assertEquals(expected, reported.toControl<EntryToControl.StreamBegan>().single())
        scenario.send(EntryEvent.ControlLinkClosed)
        val again = scenario.send(EntryEvent.ControlLinkOpened)
        assertEquals(expected, again.toControl<EntryToControl.StreamBegan>().single())
    }

    private fun begin(number: Long): EntryEffect.StartAttempt {
        val started = scenario.stream(number, RoutedScenario.RESUMABLE).starts().single()
        scenario.send(EntryEvent.AttemptFirstByte(started.attemptNumber))
        return started
    }

    private fun resume(number: Long) =
        scenario.stream(number, RoutedScenario.RESUMABLE, resumption = StreamResumption("first-$number"))

    private fun versionOf(upstream: String) = if (upstream == "old") "v1" else "v1.1"

    private fun List<EntryEffect>.starts() = filterIsInstance<EntryEffect.StartAttempt>()
}
