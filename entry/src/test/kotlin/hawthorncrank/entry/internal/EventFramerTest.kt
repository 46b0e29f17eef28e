package hawthorncrank.entry.internal

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
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

    /** Guards against a long event that is not passed on because its parts do not look like events. */
    @Test
    fun `a long chat completion event is sent in parts`() {
        val stream = (FakeUpstream.event("x y".repeat(1 shl 20)) + FakeUpstream.DONE).toByteArray()
        val framer = EventFramer()
        val out = stream.toList().chunked(100_000).flatMap { framer.accept(it.toByteArray()).toList() }
        assertEquals(stream.toList(), out)
        assertEquals(1, framer.tokens)
        assertTrue(framer.done)
    }

    /** Guards against a part of an event that the caller has when its stream is resumed after the event before it. */
    @Test
    fun `a long numbered event is not sent in parts`() {
        val framer = EventFramer(StreamFraming.NumberedEvents)
        val out = framer.accept(("id: 1\ndata: " + "x".repeat(1 shl 20)).toByteArray())
        assertEquals(0, out.size)
        assertNotNull(framer.fault)
    }
}
