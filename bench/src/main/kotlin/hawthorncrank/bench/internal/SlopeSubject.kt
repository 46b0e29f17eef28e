package hawthorncrank.bench.internal

import hawthorncrank.common.ByteSize
import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.routing.Router
import hawthorncrank.routing.RouterLocation
import hawthorncrank.routing.UpstreamLoad
import hawthorncrank.routing.router
import hawthorncrank.routing.routerPlacement
import hawthorncrank.scheduling.DispatchDecision
import hawthorncrank.scheduling.OfferOutcome
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.Scheduler
import hawthorncrank.scheduling.WorkTarget
import hawthorncrank.scheduling.scheduler

/** A scheduler and a router under measurement, which [fill] loads until further requests have to queue. */
internal class SlopeSubject(
    engines: Int,
    private val organisations: Int,
) {
    private val configuration = slopeConfiguration(engines, organisations)
    var scheduler: Scheduler = scheduler(configuration)
        private set
    var router: Router = router(configuration, RouterLocation("zone", "region"), LIVE_ENTRIES, randomSeed = 1)
        private set
    private val running = ArrayDeque<Long>()
    private var nextNumber = 0L
    private var now = 0L
    var steps = 0L
        private set
    val inFlight: Int
        get() = running.size

    init {
        for (upstream in configuration.upstreams) {
            router = router.observeLoad(upstream.name, UpstreamLoad(1, 0, 0, upstream.slots, TOKEN_INTERVAL), now)
        }
    }

    fun fill(queued: Int): SlopeSubject {
        do {
            offer()
            dispatch()
        } while (scheduler.view.queuedRequests == 0)
        while (scheduler.view.queuedRequests < queued) offer()
        return this
    }

    /** Adds one request, finishes the oldest running one and dispatches a queued request into the free slot. */
    fun cycle() {
        now += 1
        offer()
        finishOldest()
        dispatch()
    }

    /** Dispatches while every engine is full, so that no request starts. */
    fun dispatchWithoutCapacity() {
        now += 1
        dispatch()
    }

    fun offer() {
        val number = nextNumber++
        val work =
            QueuedWork(
                number,
                "organisation-${number % organisations}",
                "tier-${number % CLASSES + 1}",
                (number % CLASSES).toInt() + 1,
                WorkTarget.Model("model"),
                now,
                now + 600_000,
                promptTokens = 500,
                maximumTokens = null,
                bodyBytes = 2_000,
                prefixBlocks = listOf(number % 1_000, number),
                idempotent = true,
            )
        val outcome = scheduler.offer(work, now)
        check(outcome is OfferOutcome.Queued) { "the measured scheduler must queue each request, got $outcome" }
        scheduler = outcome.scheduler
    }

    fun finishOldest() {
        val number = running.removeFirstOrNull() ?: return
        scheduler = scheduler.finished(number, 100, complete = true, now)
        router = router.attemptEnded(number)
    }

    fun dispatch() {
        val result = scheduler.dispatch(now, router, routerPlacement(now))
        scheduler = result.scheduler
        router = result.routing
        steps += result.steps
        for (decision in result.decisions) {
            when (decision) {
                is DispatchDecision.Start -> running.addLast(decision.work.requestNumber)
                is DispatchDecision.Preempt -> running.remove(decision.work.requestNumber)
                is DispatchDecision.Refuse -> Unit
            }
        }
    }

    private companion object {
        const val LIVE_ENTRIES = 33
        const val CLASSES = 5
        const val TOKEN_INTERVAL = 30.0
    }
}

/** A configuration shaped like the planned fleet: five classes, and engines of 64 slots in the entry's zone. */
internal fun slopeConfiguration(
    engines: Int,
    organisations: Int,
) = Configuration(
    classes =
        List(5) {
            TrafficClass(
                "tier-${it + 1}",
                it + 1,
                firstToken = Milliseconds(1_800),
                queueRequests = 1_000_000,
                queueSize = ByteSize(1L shl 40),
            )
        },
    organisations =
        List(organisations) {
            Organisation(
                "organisation-$it",
                "region",
                emptyList(),
                emptyList(),
                requestsInFlight = 1_000_000,
                requestsPerSecond = 1_000_000_000,
                tokensPerSecond = 1_000_000_000,
            )
        },
    upstreams = List(engines) { Upstream("engine-$it", UpstreamKind.ENGINE, "", "zone", "region", listOf("model")) },
)
