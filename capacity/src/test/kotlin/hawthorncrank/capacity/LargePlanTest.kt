package hawthorncrank.capacity

import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.EngineScaling
import kotlin.system.measureTimeMillis
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against a search whose time grows so much with the fleet that the control thread falls behind. */
class LargePlanTest {
    @Test
    fun `the plan of 600 engines in ten zones takes a small part of its second`() {
        val zones = List(10) { "zone-$it" }
        val scaling =
            EngineScaling(1, 90, Milliseconds(4_000), 0.2, zones.associateWith { 1.0 - 0.01 * it.last().code })
        val engines = zones.associate { EnginePool(it, false) to ListedEngines(60, 0, slots = 64) }
        val classes =
            List(5) { ClassDemand("class-$it", it + 1, 1_800, 50.0, runningStreams = 4_000, waitingMilliseconds = 0.0) }
        var state = CapacityState()
        val times =
            List(SECONDS) { second ->
                val observation =
                    ServiceObservation("s", scaling, ServiceDemand(classes, 330, 1_000), engines, 1_000, emptyMap())
                measureTimeMillis { state = plan(state, listOf(observation), second * 1_000L).state }
            }
        println("plans of 600 engines: median ${times.sorted()[SECONDS / 2]} ms, first ${times.first()} ms")
        assertTrue(times.sorted()[SECONDS / 2] < LIMIT_MILLISECONDS, "$times")
    }

    private companion object {
        const val SECONDS = 25

        // A machine of CI may be several times slower than usual.
        const val LIMIT_MILLISECONDS = 500
    }
}
