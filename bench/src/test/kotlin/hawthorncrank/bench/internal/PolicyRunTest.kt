package hawthorncrank.bench.internal

import hawthorncrank.scheduling.SchedulingPolicy
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that the simulation is repeatable, counts each request once and shows the effect of a disabled mechanism. */
class PolicyRunTest {
    private val scenario = Scenario(seed = 7, duration = 60_000, bursts = emptyList(), faults = emptyList())

    @Test
    fun `equal seeds give equal results`() {
        val figures = List(2) { runVariant(scenario, PRODUCT) }
        assertEquals(figures[0].goodput, figures[1].goodput)
        assertEquals(figures[0].attainment, figures[1].attainment)
        assertEquals(figures[0].wastedBy, figures[1].wastedBy)
    }

    @Test
    fun `no request is counted twice as finished or refused, by the product and by the reference planner`() {
        val faulty = scenario.copy(faults = listOf(EngineFault("engine-1", 20_000, 30_000, slowdown = null)))
        for (record in listOf(
            PolicyRun(faulty, PRODUCT, workload(faulty)).run(),
            ReferencePlanner(faulty, workload(faulty)).run(),
        )) {
            for (demand in faulty.classes) {
                val ofClass = record.of(demand.settings.name)
                assertTrue(ofClass.finishedAt.size + ofClass.shed <= ofClass.offered, demand.settings.name)
                assertTrue(ofClass.attained <= ofClass.finishedAt.size, demand.settings.name)
            }
        }
    }

    @Test
    fun `engines never produce more than their full batches allow`() {
        val record = PolicyRun(scenario, PRODUCT, workload(scenario)).run()
        assertTrue(record.producedTokens <= scenario.capacity * scenario.duration / 1_000)
        assertTrue(record.goodput > scenario.capacity / 2, "half of the capacity must do useful work")
    }

    @Test
    fun `the lowest class finishes far fewer requests without its floor`() {
        fun finishedRequests(policy: SchedulingPolicy): Int {
            val variant = Variant("variant", policy)
            val steady = scenario.copy(duration = 120_000)
            return PolicyRun(steady, variant, workload(steady))
                .run()
                .of("tier-5")
                .finishedAt
                .count { it > 60_000 }
        }
        assertTrue(finishedRequests(SchedulingPolicy()) > 2 * finishedRequests(SchedulingPolicy(floor = false)))
    }
}
