package hawthorncrank.routing.internal

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against engines that are taken for slow because they are busy, and against slow ones that are not noticed. */
class SlowEnginesTest {
    @Test
    fun `an engine that needs more than twice the usual time is slow`() {
        val slow = SlowEngines.among(mapOf("a" to 17.0, "b" to 18.0, "c" to 39.0), usual = 17.0, now = 0)
        assertTrue("c" in slow)
        assertEquals(39.0 / 17, slow.slowdown("c"))
        assertEquals(1.0, slow.slowdown("a"))
    }

    @Test
    fun `an engine that reads prompts all the time is not slow`() {
        assertFalse(SlowEngines.among(mapOf("a" to 17.0, "b" to 18.0, "c" to 96.0), usual = 17.0, now = 0).any)
    }

    @Test
    fun `no engine is slow while most are busy`() {
        assertFalse(SlowEngines.among(mapOf("a" to 17.0, "b" to 45.0, "c" to 44.0), usual = 17.0, now = 0).any)
    }

    @Test
    fun `a speed counts once three reports agree`() {
        val scattered = listOf(90.0, 60.0, 40.0).fold(EngineSpeed()) { speed, interval -> speed.observe(interval, 0) }
        assertNull(scattered.fastest)
        assertEquals(40.0, scattered.observe(41.0, 250).observe(42.0, 500).fastest!!, absoluteTolerance = 0.2)
    }
}
