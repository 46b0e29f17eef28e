package hawthorncrank.common

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A lease must end on time although the monotonic clock stops while the machine is suspended. */
class SuspendAwareClockTest {
    private var monotonic = 5_000L
    private var wall = 1_000_000L
    private val clock =
        suspendAwareClock(
            object : MillisecondClock {
                override fun now() = monotonic

                override fun wallTime() = wall
            },
        )

    @Test
    fun `suspended time is counted although the monotonic clock stopped`() {
        advance(100)
        assertEquals(5_100, clock.now())
        wall += 6_000
        assertEquals(11_100, clock.now())
        advance(10)
        assertEquals(11_110, clock.now())
    }

    @Test
    fun `setting the time of day back and then forward does not change the clock`() {
        wall -= 2_000
        advance(100)
        assertEquals(5_100, clock.now())
        wall += 2_000
        assertEquals(5_100, clock.now())
    }

    @Test
    fun `slow drift of the time of day is not a suspension`() {
        repeat(100) {
            advance(10)
            wall += 1
            clock.now()
        }
        assertEquals(6_000, clock.now())
    }

    @Test
    fun `the digest of a random key verifies that key only`() {
        val digest = KeyHash.digest("n2ctnfzs989anu6wsjnb")
        assertTrue(KeyHash.isWellFormed(digest))
        assertTrue(KeyHash.verify("n2ctnfzs989anu6wsjnb", digest))
        assertFalse(KeyHash.verify("n2ctnfzs989anu6wsjnc", digest))
    }

    private fun advance(milliseconds: Long) {
        monotonic += milliseconds
        wall += milliseconds
    }
}
