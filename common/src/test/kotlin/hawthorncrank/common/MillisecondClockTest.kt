package hawthorncrank.common

import kotlin.test.Test
import kotlin.test.assertTrue

class MillisecondClockTest {
    @Test
    fun `system clock never goes back`() {
        val clock = systemClock()
        val readings = List(1_000) { clock.now() }
        assertTrue(readings.zipWithNext().all { (earlier, later) -> earlier <= later })
    }
}
