package hawthorncrank.common

import reactor.core.publisher.Flux
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlin.test.assertIs

class BoundedBodyTest {
    @Test
    fun `parts up to the limit are joined`() {
        assertContentEquals(byteArrayOf(1, 2, 3), Flux.just(byteArrayOf(1, 2), byteArrayOf(3)).joinBounded(3).block())
        assertContentEquals(byteArrayOf(), Flux.empty<ByteArray>().joinBounded(0).block())
    }

    /** A body without an end would fill the memory. */
    @Test
    fun `a body without an end fails at the limit`() {
        var parts = 0
        val endless = Flux.generate<ByteArray> { it.next(ByteArray(10)).also { parts++ } }
        assertIs<BodyTooLargeException>(assertFails { endless.joinBounded(95).block() }.let { it.cause ?: it })
        assertEquals(10, parts)
    }
}
