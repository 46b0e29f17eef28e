package hawthorncrank.scheduling

import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Checks individual rules of section 7.4 that generated histories exercise too rarely. */
class SchedulerRulesTest {
    private val target = WorkTarget.Model("m")
    private var number = 0L

    @Test
    fun `a limit refuses a request and states the delay after which it is accepted`() {
        val limited = organisation("o").copy(requestsInFlight = 3, requestsPerSecond = 2, tokensPerSecond = 100)
        var scheduler = scheduler(configuration(limited))
        repeat(2) { scheduler = queued(scheduler, work(arrival = 0)) }
        val refused = assertIs<OfferOutcome.Refused>(scheduler.offer(work(arrival = 0), 0))
        assertEquals(RefusalReason.Limit("requests_per_second"), refused.reason)
        val later = refused.retryAfterMilliseconds
        assertIs<OfferOutcome.Refused>(scheduler.offer(work(arrival = later - 1), later - 1))
        scheduler = queued(scheduler, work(arrival = later))
        val full = assertIs<OfferOutcome.Refused>(scheduler.offer(work(arrival = 5_000), 5_000))
        assertEquals(RefusalReason.Limit("requests_in_flight"), full.reason)
        scheduler = dispatch(scheduler, 5_000).scheduler.finished(1, 150, complete = true, 5_000)
        val spent = assertIs<OfferOutcome.Refused>(scheduler.offer(work(arrival = 5_000), 5_000))
        assertEquals(RefusalReason.Limit("tokens_per_second") to 500L, spent.reason to spent.retryAfterMilliseconds)
        queued(scheduler, work(arrival = 5_500))
    }

    @Test
    fun `work whose deadline passed is refused and never started`() {
        var scheduler = scheduler(configuration(organisation("o")))
        assertEquals(
            RefusalReason.TooLate,
            assertIs<OfferOutcome.Refused>(scheduler.offer(work(arrival = 0, finishBy = 50), 51)).reason,
        )
        scheduler = queued(scheduler, work(arrival = 100, finishBy = 200))
        val decisions = dispatch(scheduler, 201).decisions
        assertEquals(listOf(RefusalReason.TooLate), decisions.map { assertIs<DispatchDecision.Refuse>(it).reason })
        assertEquals(1, scheduler.expire(201).refused.size)
        assertTrue(scheduler.expire(200).refused.isEmpty())
    }

    @Test
    fun `work is refused once the shortest likely answer no longer fits at the fastest speed seen`() {
        var scheduler = scheduler(configuration(organisation("o")))
        repeat(20) { scheduler = served(scheduler, tokens = 100, interval = 10) }
        val now = scheduler.view.queuedRequests + 100_000L
        assertIs<OfferOutcome.Refused>(scheduler.offer(work(arrival = now, finishBy = now + 900), now))
        assertIs<OfferOutcome.Queued>(scheduler.offer(work(arrival = now, finishBy = now + 1_100), now))
        val off = scheduler(configuration(organisation("o")), SchedulingPolicy(refuseUseless = false))
        assertIs<OfferOutcome.Queued>(off.offer(work(arrival = now, finishBy = now - 1), now))
    }

    @Test
    fun `length estimates follow what was produced and are corrected while a stream runs`() {
        var scheduler = scheduler(configuration(organisation("o")))
        assertNull(scheduler.estimatedTokens("c", "o", 0.5))
        for (tokens in 1..100) scheduler = served(scheduler, tokens, interval = 10)
        assertEquals(68, scheduler.estimatedTokens("c", "o", 0.5), "median of the newest 64: 37 to 100")
        scheduler = dispatch(queued(scheduler, work(arrival = 1_000_000)), 1_000_000).scheduler
        val running =
            scheduler.view
                .inFlight()
                .single()
                .work.requestNumber
        scheduler = scheduler.progress(running, 90, answerStarted = true, 1_000_100)
        assertEquals(5, scheduler.estimatedRemainingTokens(running, 0.5), "median of 91 to 100, less 90")
        scheduler = scheduler.progress(running, 200, answerStarted = true, 1_000_200)
        assertEquals(200, scheduler.estimatedRemainingTokens(running, 0.5), "longer than all samples, so it doubles")
    }

    @Test
    fun `a new configuration keeps the queue and applies the new tiers`() {
        val before = Configuration(listOf(TrafficClass("a", 1), TrafficClass("b", 2)), listOf(organisation("o")))
        val after = Configuration(listOf(TrafficClass("a", 3), TrafficClass("b", 2)), listOf(organisation("o")))
        var scheduler = scheduler(before, SchedulingPolicy(floor = false))
        scheduler = queued(scheduler, work(arrival = 0, className = "a"))
        scheduler = queued(scheduler, work(arrival = 1, className = "b"))
        scheduler = scheduler.configure(after)
        assertEquals(2, scheduler.view.queuedRequests)
        val started = dispatch(scheduler, 2).decisions.map { assertIs<DispatchDecision.Start>(it) }
        assertEquals(listOf("b" to 2, "a" to 3), started.map { it.work.className to it.priority })
        val removed = scheduler.configure(Configuration(listOf(TrafficClass("b", 2))))
        assertEquals(2, removed.view.queuedRequests, "work of a removed class stays queued")
        assertEquals(2, dispatch(removed, 2).decisions.size)
    }

    @Test
    fun `requeued work keeps its arrival and starts before work that arrived later`() {
        var scheduler = queued(scheduler(configuration(organisation("o"))), work(arrival = 0))
        scheduler = dispatch(scheduler, 0).scheduler
        scheduler = queued(scheduler, work(arrival = 10)).requeue(1, 20)
        val first = dispatch(scheduler, 20).decisions.first().work
        assertEquals(1L to 0L, first.requestNumber to first.arrival)
    }

    @Test
    fun `a request whose own constraints prevent placement blocks neither the floor nor its class`() {
        val organisations = listOf(organisation("o"), organisation("p"))
        var scheduler = scheduler(Configuration(listOf(TrafficClass("c", 1)), organisations))
        scheduler = queued(scheduler, work(arrival = 0))
        repeat(2) { scheduler = queued(scheduler, work(arrival = 1).copy(organisation = "p")) }
        val usual = FakeEngines.placement()
        val unplaceable =
            Placement<FakeEngines>(
                place = { engines, question ->
                    if (question.work.requestNumber ==
                        1L
                    ) {
                        PlacementAnswer.RequestNotPlaceable
                    } else {
                        usual.place(engines, question)
                    }
                },
                release = usual.release,
            )
        val result = scheduler.dispatch(2, FakeEngines(mapOf("e1" to 9)), unplaceable)
        val started = result.decisions.map { assertIs<DispatchDecision.Start>(it) }
        assertEquals(
            listOf(2L to CapacityKind.FLOOR, 3L to CapacityKind.SHARED),
            started.map {
                it.work.requestNumber to
                    it.capacity
            },
        )
        assertTrue(result.scheduler.view.isQueued(1))
    }

    @Test
    fun `the predicted wait grows with the queue`() {
        var scheduler = scheduler(configuration(organisation("o")), SchedulingPolicy(floor = false))
        val none = FakeEngines(mapOf("e1" to 0))

        fun predicted(queued: Int): Long {
            while (scheduler.view.queuedRequests < queued) scheduler = queued(scheduler, work(arrival = 0))
            return scheduler.dispatch(0, none, FakeEngines.placement()).scheduler.predictedWait(target, "c", 0)
        }
        assertTrue(predicted(1) < predicted(10))
    }

    private fun served(
        start: Scheduler,
        tokens: Int,
        interval: Long,
    ): Scheduler {
        val at = number * 1_000
        val work = work(arrival = at)
        return dispatch(queued(start, work), at)
            .scheduler
            .progress(work.requestNumber, 1, answerStarted = true, at)
            .progress(work.requestNumber, 1 + 30, answerStarted = true, at + 30 * interval)
            .finished(work.requestNumber, tokens, complete = true, at + tokens * interval)
    }

    private fun queued(
        scheduler: Scheduler,
        work: QueuedWork,
    ) = assertIs<OfferOutcome.Queued>(scheduler.offer(work, work.arrival)).scheduler

    private fun dispatch(
        scheduler: Scheduler,
        now: Long,
    ) = scheduler.dispatch(now, FakeEngines(mapOf("e1" to 100)), FakeEngines.placement())

    private fun configuration(organisation: Organisation) =
        Configuration(listOf(TrafficClass("c", 1, firstToken = Milliseconds(1_800))), listOf(organisation))

    private fun organisation(name: String) =
        Organisation(name, "r", emptyList(), emptyList(), tokensPerSecond = 1_000_000)

    private fun work(
        arrival: Long,
        className: String = "c",
        finishBy: Long? = null,
    ) = QueuedWork(++number, "o", className, 1, target, arrival, finishBy, 10, null, 100, emptyList(), true)
}
