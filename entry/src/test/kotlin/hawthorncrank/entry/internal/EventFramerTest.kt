package hawthorncrank.entry.internal

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventFramerTest {
    /** Guards against bytes that are lost or added at chunk boundaries. */
    @Property(tries = 200)
    fun `events are unchanged for every chunk size`(
        @ForAll @IntRange(min = 1, max = 40) size: Int,
    ) {
        val stream = (1..20).joinToString("") { FakeUpstream.event("w$it") } + "data: [DONE]\r\n\r\n"
        val framer = EventFramer()
        val out = stream.chunked(size).joinToString("") { framer.accept(it.toByteArray()).decodeToString() }
        assertEquals(stream, out + framer.remainder().decodeToString())
        assertEquals(20, framer.tokens)
        assertTrue(framer.done)
    }

    /** Guards against bytes that are lost or changed when numbered events are checked. */
    @Property(tries = 200)
    fun `numbered events are unchanged for every chunk size`(
        @ForAll @IntRange(min = 1, max = 40) size: Int,
    ) {
        val events = (1..20).map { "id: ${it * 3}\ndata: \u2026\u00e4$it\r\u0085\n\n" + "\n".repeat(it % 3) }
        val stream = ("\n: comment\n\n" + events.joinToString("") + "id:61\r\ndata\r\n\r\n").toByteArray()
        val framer = EventFramer(StreamFraming.NumberedEvents, precedingIdentifier = "2")
        val out = stream.toList().chunked(size).flatMap { framer.accept(it.toByteArray()).toList() }
        assertEquals(stream.toList(), out + framer.remainder().toList())
        assertEquals(21 to "61", framer.tokens to framer.lastEventIdentifier)
        assertTrue(framer.done)
    }

    @Test
    fun `an incomplete event is held back`() {
        val framer = EventFramer()
        assertEquals(
            FakeUpstream.event("a"),
            framer.accept((FakeUpstream.event("a") + "data: {").toByteArray()).decodeToString(),
        )
        assertFalse(framer.done)
        assertEquals("data: {", framer.remainder().decodeToString())
    }
}
