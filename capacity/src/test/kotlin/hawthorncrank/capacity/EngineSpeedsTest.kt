package hawthorncrank.capacity

import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against engines that are taken for slow because they are busy, and against slow ones that are not noticed. */
class EngineSpeedsTest {
    @Test
    fun `an engine that needs twice the time for its work is slow`() {
        val engines = listOf("a", "b", "d", "e").map { ReportingEngine(it, promptsPerSecond = 3) }.toTypedArray()
        val speeds = speeds(*engines, ReportingEngine("c", promptsPerSecond = 3, slowdown = 2.0))
        val slowdowns = speeds.slowdowns()
        assertEquals(2.0, slowdowns.getValue("c"), 0.3)
        assertEquals(1.0, slowdowns.getValue("a"), 0.15)
    }

    @Test
    fun `engines full of streams or prompts are not slow`() {
        val full = ReportingEngine("c", streams = 48)
        val reading = ReportingEngine("d", promptsPerSecond = 10)
        val speeds = speeds(ReportingEngine("a"), ReportingEngine("b", streams = 24), full, reading)
        assertEquals(emptyMap(), slowEngines(speeds.slowdowns(), emptyMap()))
    }

    @Test
    fun `a slow engine is noticed while all are busy`() {
        val engines = (1..5).map { ReportingEngine("e$it", streams = 8 * it, promptsPerSecond = it) }
        val slow = ReportingEngine("slow", streams = 20, promptsPerSecond = 2, slowdown = 2.2)
        val found = slowEngines(speeds(*engines.toTypedArray(), slow).slowdowns(), emptyMap())
        assertEquals(setOf("slow"), found.keys)
    }

    @Test
    fun `an engine that reads prompts nearly all the time is not judged`() {
        val reading = ReportingEngine("c", promptsPerSecond = 60)
        val speeds = speeds(ReportingEngine("a"), ReportingEngine("b"), ReportingEngine("d"), reading)
        assertFalse("c" in speeds.slowdowns())
    }

    @Test
    fun `two engines are not compared`() {
        val speeds = speeds(ReportingEngine("a"), ReportingEngine("b", slowdown = 2.0))
        assertEquals(emptyMap(), speeds.slowdowns())
        assertTrue(speeds.isKnown("a"))
    }

    @Test
    fun `an engine that is left out is forgotten`() {
        val speeds = speeds(ReportingEngine("a"), ReportingEngine("b"), ReportingEngine("c"))
        assertFalse(speeds.retain(setOf("a", "b")).isKnown("c"))
    }

    @Test
    fun `a decision holds while the estimate varies or is missing, and ends when it is clearly over`() {
        val before = mapOf("a" to 2.0)
        assertEquals(before, slowEngines(mapOf("a" to 1.6), before))
        assertEquals(before, slowEngines(emptyMap(), before))
        assertEquals(emptyMap(), slowEngines(mapOf("a" to 1.2), before))
    }

    @Test
    fun `the slowdown of an engine that fails is bounded`() {
        assertEquals(mapOf("a" to 3.0), slowEngines(mapOf("a" to 9.0), emptyMap()))
    }

    @Test
    fun `a slowdown does not follow each estimate`() {
        val found = slowEngines(mapOf("a" to 2.1), emptyMap())
        assertEquals(found, slowEngines(mapOf("a" to 3.4), found))
    }

    private fun speeds(vararg engines: ReportingEngine): EngineSpeeds =
        (0..SECONDS).fold(EngineSpeeds()) { speeds, second ->
            engines.fold(speeds) { next, engine -> next.reported(engine.name, engine.report(second)) }
        }

    /**
     * An engine whose events take 20 ms, and longer with many streams and prompts. Half of each prompt is in its cache. The
     * load varies by a third from second to second.
     */
    private class ReportingEngine(
        val name: String,
        private val streams: Int = 8,
        private val promptsPerSecond: Int = 1,
        private val slowdown: Double = 1.0,
    ) {
        private val random = Random(name.hashCode())
        private var events = 1

        fun report(second: Int): EngineReport {
            val prompts = varied(promptsPerSecond)
            val running = varied(streams)
            val readMilliseconds = prompts * PROMPT_TOKENS / 2 / TOKENS_PER_MILLISECOND
            val eventMilliseconds = 20.0 + running * 0.5
            events += ((1_000 / slowdown - readMilliseconds).coerceAtLeast(100.0) / eventMilliseconds).roundToInt()
            val generating = (1..running).associate { "$name-$it" to ReportedStream(1_000, events) }
            val new = (1..prompts).associate { "$name-$second-$it" to ReportedStream(PROMPT_TOKENS, 0) }
            return EngineReport(second * 1_000L, generating + new)
        }

        private fun varied(mean: Int) = (mean * random.nextDouble(2.0 / 3, 4.0 / 3)).roundToInt().coerceAtLeast(1)
    }

    private companion object {
        const val SECONDS = 12
        const val PROMPT_TOKENS = 4_000
        const val TOKENS_PER_MILLISECOND = 50.0
    }
}
