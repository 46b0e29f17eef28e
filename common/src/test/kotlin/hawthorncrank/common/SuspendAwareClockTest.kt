package hawthorncrank.common

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against leases that outlive a suspension of the machine. */
class SuspendAwareClockTest {
    private var steady = 5_000L
    private var wall = 1_000_000L
    private val clock =
        suspendAwareClock(
            object : MillisecondClock {
                override fun now() = steady

                override fun wallTime() = wall
            },
        )

    @Test
    fun `a suspension counts although the steady clock stood still`() {
        pass(100)
        assertEquals(5_100, clock.now())
        wall += 6_000
        assertEquals(11_100, clock.now())
        pass(10)
        assertEquals(11_110, clock.now())
    }

    @Test
    fun `a time of day that is set back and forth does not move the clock back`() {
        wall -= 2_000
        pass(100)
        assertEquals(5_100, clock.now())
        wall += 2_000
        assertEquals(5_100, clock.now())
    }

    @Test
    fun `slow drift of the time of day is not a suspension`() {
        repeat(100) {
            pass(10)
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

    private fun pass(milliseconds: Long) {
        steady += milliseconds
        wall += milliseconds
    }
}
