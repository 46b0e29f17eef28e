package hawthorncrank.routing

import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.DispatchDecision
import hawthorncrank.scheduling.OfferOutcome
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.WorkTarget
import hawthorncrank.scheduling.scheduler
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Tests the scheduler and the router together, through the interface that the entry reducer uses. */
class RouterPlacementTest {
    private val configuration =
        Configuration(
            classes = listOf(TrafficClass("quick", tier = 1), TrafficClass("long", tier = 5)),
            upstreams =
                listOf(
                    Upstream("e1", UpstreamKind.ENGINE, "127.0.0.1:1", "z1", "r1", listOf("m"), slots = 3),
                ),
        )

    @Test
    fun `a higher tier starts on a full engine and the lowest tier beyond its floor is preempted`() {
        var scheduler = scheduler(configuration)
        var router = router(configuration, RouterLocation("z1", "r1"), liveEntries = 1, randomSeed = 1)
        val started = mutableListOf<DispatchDecision>()
        for (number in 1L..8L) {
            val className = if (number <= 4) "long" else "quick"
            scheduler = assertIs<OfferOutcome.Queued>(scheduler.offer(work(number, className), number)).scheduler
            val dispatch = scheduler.dispatch(number, router, routerPlacement(number))
            scheduler = dispatch.scheduler
            router = dispatch.routing
            started += dispatch.decisions
        }
        val preempted = started.filterIsInstance<DispatchDecision.Preempt>().map { it.work.requestNumber }
        assertEquals(listOf(3L, 2L), preempted)
        val floor = started.filterIsInstance<DispatchDecision.Start>().filter { it.capacity == CapacityKind.FLOOR }
        assertEquals(listOf(1L, 5L), floor.map { it.work.requestNumber })
        assertEquals(4, router.view.inFlight("e1"))
        assertEquals(
            setOf(2L, 3L, 4L, 8L),
            scheduler.view
                .queued()
                .map { it.requestNumber }
                .toSet(),
        )
    }

    private fun work(
        number: Long,
        className: String,
    ) = QueuedWork(
        requestNumber = number,
        organisation = "o",
        className = className,
        tier = if (className == "quick") 1 else 5,
        target = WorkTarget.Model("m"),
        arrival = number,
        finishBy = null,
        promptTokens = 10,
        maximumTokens = 100,
        bodyBytes = 1_000,
        prefixBlocks = emptyList(),
        idempotent = true,
    )
}
