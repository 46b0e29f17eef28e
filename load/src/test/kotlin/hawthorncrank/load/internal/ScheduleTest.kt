package hawthorncrank.load.internal

import hawthorncrank.common.Milliseconds
import hawthorncrank.load.Burst
import hawthorncrank.load.ClassLoad
import hawthorncrank.load.OrganisationLoad
import hawthorncrank.load.Workload
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ScheduleTest {
    private val workload =
        Workload(
            name = "test",
            entries = listOf("127.0.0.1:1"),
            model = "m",
            seed = 5,
            duration = Milliseconds(100_000),
            classes = listOf(ClassLoad("quick", 10.0), ClassLoad("slow", 5.0)),
            organisations = listOf(OrganisationLoad("large", "k", 9.0), OrganisationLoad("small", "k", 1.0)),
        )

    @Test
    fun `the same seed gives the same schedule in time order`() {
        val first = schedule(workload).map { Triple(it.time, it.load.name, it.outputTokens) }
        assertEquals(first, schedule(workload).map { Triple(it.time, it.load.name, it.outputTokens) })
        assertEquals(first.sortedBy { it.first }, first)
    }

    /** The drawn rates and shares must match the workload; the bounds are five standard deviations. */
    @Test
    fun `rates and shares match the workload`() {
        val planned = schedule(workload)
        assertTrue(planned.count { it.load.name == "quick" } in 840..1_160)
        assertTrue(planned.count { it.organisation.name == "small" } in 90..210)
    }

    @Test
    fun `a burst raises the rate of its own class only`() {
        val burst = Burst("quick", start = Milliseconds(50_000), duration = Milliseconds(10_000), factor = 5.0)
        val planned = schedule(workload.copy(bursts = listOf(burst)))
        val inside = planned.filter { it.time in 50_000_000_000..60_000_000_000 }
        assertTrue(inside.count { it.load.name == "quick" } in 388..612)
        assertTrue(inside.count { it.load.name == "slow" } in 15..85)
    }

    @Test
    fun `the number of requests is bounded`() {
        assertEquals(20, schedule(workload.copy(maximumRequests = 20)).size)
    }
}
