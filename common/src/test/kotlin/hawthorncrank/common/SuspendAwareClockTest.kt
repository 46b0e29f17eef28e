package hawthorncrank.common

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A lease must end on time although the monotonic clock stops while the machine is suspended. */
class SuspendAwareClockTest {
    private var monotonic = 5_000L
    private var wall = 1_000_000L
    private val base =
        object : MillisecondClock {
            override fun now() = monotonic

            override fun wallTime() = wall
        }
    private val clock = suspendAwareClock(base)
    private val detecting = suspensionDetectingClock(base)

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
    fun `setting the time of day back does not change the clock`() {
        wall -= 2_000
        advance(100)
        assertEquals(5_100, clock.now())
    }

    /** The suspension could be any forward leap of the time of day, also one that only takes back the step before. */
    @Test
    fun `a suspension after the time of day was set back is counted in full`() {
        wall -= 2_400
        advance(100)
        clock.now()
        wall += 2_000
        assertEquals(7_100, clock.now())
    }

    /** Deadlines of requests and waits that upstreams asked for must not end because the time of day was set. */
    @Test
    fun `a step of the time of day and back changes only the time for leases`() {
        for (step in listOf(2_400, -2_400)) {
            val before = detecting.suspended()
            wall += step
            assertEquals(monotonic, detecting.now())
            detecting.suspended()
            wall -= step
            assertEquals(monotonic, detecting.now())
            assertEquals(before + 2_400, detecting.suspended())
        }
    }

    @Test
    fun `a thread that is delayed between two readings of the clocks has not seen a suspension`() {
        var delay = 0L
        val delayed =
            suspensionDetectingClock(
                object : MillisecondClock {
                    override fun now() = monotonic

                    override fun wallTime() = wall.also { advance(delay) }
                },
            )
        delay = 400
        repeat(3) { assertEquals(0, delayed.suspended()) }
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
