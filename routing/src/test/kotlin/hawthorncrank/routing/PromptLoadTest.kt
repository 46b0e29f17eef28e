package hawthorncrank.routing

import hawthorncrank.routing.PromptLoads.ALL
import hawthorncrank.routing.PromptLoads.BINDERY
import hawthorncrank.routing.PromptLoads.LETTERING
import hawthorncrank.routing.PromptLoads.LIGHTS
import hawthorncrank.routing.PromptLoads.SLOW
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against placement that suits the engines of one deployment only. */
class PromptLoadTest {
    @TestFactory
    fun `on a quiet day streams are on time whatever the engines are`() =
        ALL.map { load ->
            DynamicTest.dynamicTest(load.engines.name) {
                val late = onTime(load).filterValues { it < ON_TIME }
                assertEquals(emptyMap(), late, "classes below $ON_TIME")
            }
        }

    /** An entry that sees few requests has little to learn from. */
    @TestFactory
    fun `streams are on time at many entries with few requests each`() =
        listOf(LIGHTS, LETTERING, BINDERY).map { load ->
            DynamicTest.dynamicTest(load.engines.name) {
                val late = onTime(load.copy(entriesPerZone = 12)).filterValues { it < ON_TIME }
                assertEquals(emptyMap(), late, "classes below $ON_TIME")
            }
        }

    /** Long prompts lengthen the pauses of all streams on their engine, and waiting prompts delay the first event. */
    @TestFactory
    fun `streams with short pauses stay on time in a burst`() =
        mapOf(
            "twice the bindery's load" to BINDERY.times(2.0),
            "long prompts" to BINDERY.times(4.0, "plan"),
            "short prompts" to BINDERY.times(4.0, "check"),
            "streams with short pauses" to BINDERY.times(4.0, "chat"),
            "long prompts on a slow engine" to SLOW.times(4.0, "report"),
            "three times the load of the lights" to LIGHTS.times(3.0),
        ).map { (name, load) ->
            DynamicTest.dynamicTest(name) {
                val mostSensitive = load.kinds.minBy { it.pause }.name
                val share = onTime(load).getValue(mostSensitive)
                assertTrue(share >= ON_TIME, "$mostSensitive: $share on time")
            }
        }

    /** Prompts of middle length share the engines for short prompts, whose streams bear some of them. */
    @Test
    fun `streams with short pauses stay on time in a burst of prompts of middle length`() {
        val share = onTime(LIGHTS.times(4.0, "trace")).getValue("guess")
        assertTrue(share >= ON_TIME, "guess: $share on time")
    }

    private fun onTime(load: PromptLoad): Map<String, Double> {
        val runs = (1L..SEEDS).map { PromptLoadRun(load, it).onTime() }
        val shares = load.kinds.associate { kind -> kind.name to runs.map { it.getValue(kind.name) }.average() }
        println("${load.engines.name}, ${load.entries} entries: $shares")
        return shares
    }

    private companion object {
        const val SEEDS = 3L

        /** The share that the operators ask for. */
        const val ON_TIME = 0.95
    }
}
