package hawthorncrank.bench.internal

import hawthorncrank.routing.RouterLocation
import hawthorncrank.routing.UpstreamLoad
import hawthorncrank.routing.router
import hawthorncrank.routing.routerPlacement
import hawthorncrank.scheduling.DispatchDecision
import hawthorncrank.scheduling.OfferOutcome
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.SchedulerView
import hawthorncrank.scheduling.WorkTarget
import hawthorncrank.scheduling.scheduler
import kotlin.random.Random

/** Simulates in virtual time how entries with the policies of [variant] serve the workload of a scenario. */
internal class PolicyRun(
    private val scenario: Scenario,
    private val variant: Variant,
    private val requests: List<SimulatedRequest>,
) : EngineListener {
    private val time = VirtualTime()
    private val record = RunRecord(scenario)
    private val random = Random(scenario.seed + 1)
    private val engines =
        scenario.engines.associate { model ->
            model.name to SimulatedEngine(model, time, this) { events -> publish(model.name, events) }
        }
    private val entries = List(scenario.entries) { SimulatedEntry(it) }
    var dispatchSteps = 0L
        private set
    var dispatches = 0L
        private set

    fun run(): RunRecord {
        for (request in requests) {
            time.at(request.arrival) { entries[request.entry].arrived(request) }
        }
        for (fault in scenario.faults) schedule(fault)
        every(scenario.reportEvery) { reportLoads() }
        every(TICK_MILLISECONDS) { entries.forEach { it.dispatch() } }
        time.runUntil(scenario.duration)
        return record
    }

    /** The current states of the entries' schedulers, for assertions. */
    fun schedulerViews(): List<SchedulerView> = entries.map { it.scheduler.view }

    override fun tokensProduced(sequence: Sequence) = entries[sequence.request.entry].tokensProduced(sequence)

    override fun finished(sequence: Sequence) = entries[sequence.request.entry].finished(sequence)

    override fun crashed(
        engine: SimulatedEngine,
        sequences: List<Sequence>,
    ) {
        for (entry in entries) {
            entry.engineCrashed(engine.model.name, sequences.filter { it.request.entry == entry.index })
        }
    }

    private fun schedule(fault: EngineFault) {
        val engine = engines[fault.engine] ?: return
        if (fault.slowdown != null) {
            time.at(fault.from) { engine.slowdown = fault.slowdown }
            time.at(fault.until) { engine.slowdown = 1.0 }
            return
        }
        time.at(fault.from) { engine.crash() }
        time.at(fault.until) { engine.recover() }
        time.at(fault.until + RECOVERY_DETECTION_MILLISECONDS) {
            entries.forEach { it.engineRecovered(fault.engine) }
        }
    }

    private fun reportLoads() {
        val loads =
            engines.values.filter { !it.crashed }.map {
                it.model.name to
                    UpstreamLoad(time.now, it.running, it.queued, it.model.slots, it.interval)
            }
        time.at(time.now + scenario.reportLag) { entries.forEach { entry -> loads.forEach(entry::loadReported) } }
    }

    private fun publish(
        engine: String,
        events: CacheEvents,
    ) {
        for (entry in entries) {
            if (random.nextDouble() < scenario.cacheGapProbability) continue
            time.at(time.now + scenario.cacheEventLag) { entry.cacheChanged(engine, events) }
        }
    }

    private fun every(
        interval: Long,
        action: () -> Unit,
    ) {
        time.at(time.now + interval) {
            action()
            every(interval, action)
        }
    }

    private inner class SimulatedEntry(
        val index: Int,
    ) {
        var scheduler = scheduler(scenario.configuration(), variant.scheduling)
        private var router =
            router(
                scenario.configuration(),
                RouterLocation(Scenario.ZONE, Scenario.REGION),
                scenario.entries,
                scenario.seed * 100 + index,
                variant.routing,
            )
        private val open = mutableMapOf<Long, SimulatedRequest>()
        private val sequences = mutableMapOf<Long, Sequence>()
        private val firstTokens = mutableMapOf<Long, Long>()

        fun arrived(request: SimulatedRequest) {
            record.offered(request)
            open[request.number] = request
            when (val outcome = scheduler.offer(request.toWork(), time.now)) {
                is OfferOutcome.Queued -> {
                    scheduler = outcome.scheduler
                    outcome.shed.forEach { refuse(it.work) }
                }
                is OfferOutcome.Refused -> {
                    scheduler = outcome.scheduler
                    refuse(request.toWork())
                }
            }
            if (request.number in open) time.at(request.finishBy + 1) { deadlinePassed(request) }
            dispatch()
        }

        fun dispatch() {
            val result = scheduler.dispatch(time.now, router, routerPlacement(time.now))
            scheduler = result.scheduler
            router = result.routing
            dispatches++
            dispatchSteps += result.steps
            result.decisions.forEach(::execute)
        }

        private fun execute(decision: DispatchDecision) {
            when (decision) {
                is DispatchDecision.Start -> start(decision)
                is DispatchDecision.Refuse -> refuse(decision.work)
                is DispatchDecision.Preempt -> {
                    val sequence = sequences.remove(decision.work.requestNumber) ?: return
                    engines.getValue(decision.upstream).cancel(sequence)
                    record.wasted(sequence.tokens, "preempted")
                }
            }
        }

        private fun start(decision: DispatchDecision.Start) {
            val request = open.getValue(decision.work.requestNumber)
            record.waited(request, time.now)
            val priority = if (variant.scheduling.tierOrder) decision.priority else 1
            sequences[request.number] = engines.getValue(decision.upstream).submit(request, priority)
        }

        private fun refuse(work: QueuedWork) {
            val request = open.remove(work.requestNumber) ?: return
            record.shed(request)
        }

        private fun deadlinePassed(request: SimulatedRequest) {
            open.remove(request.number) ?: return
            val sequence = sequences.remove(request.number)
            if (sequence == null) {
                record.waited(request, time.now)
                record.shed(request)
            } else {
                engines.values.forEach { it.cancel(sequence) }
                record.wasted(sequence.tokens, wasteReason(request))
            }
            scheduler = scheduler.remove(request.number)
            router = router.attemptEnded(request.number)
            dispatch()
        }

        /**
         * Separates answers that were too long to finish in time even if started on arrival in a full batch from those
         * that a better decision could have finished.
         */
        private fun wasteReason(request: SimulatedRequest): String {
            val model = scenario.engines.first()
            val shortest = request.outputTokens * model.interval(model.slots)
            return if (request.arrival + shortest > request.finishBy) {
                "longer than its whole time allows at full batch"
            } else {
                "deadline, ${request.demand.settings.name}"
            }
        }

        fun tokensProduced(sequence: Sequence) {
            val request = sequence.request
            if (sequences[request.number] !== sequence) return
            if (sequence.tokens == 1) firstTokens[request.number] = time.now
            scheduler = scheduler.progress(request.number, sequence.tokens, request.streamed, time.now)
            router = router.attemptProgress(request.number, sequence.tokens, time.now)
        }

        fun finished(sequence: Sequence) {
            val request = sequence.request
            if (sequences.remove(request.number) !== sequence) return
            open.remove(request.number)
            record.finished(request, firstTokens.remove(request.number) ?: time.now, time.now)
            scheduler = scheduler.finished(request.number, sequence.tokens, complete = true, time.now)
            router = router.attemptEnded(request.number)
            dispatch()
        }

        fun engineCrashed(
            engine: String,
            lost: List<Sequence>,
        ) {
            router = router.setEligible(engine, false)
            for (sequence in lost) {
                val request = sequence.request
                if (sequences.remove(request.number) == null) continue
                router = router.attemptEnded(request.number)
                record.wasted(sequence.tokens, "crashed")
                if (sequence.tokens > 0 && request.streamed) {
                    open.remove(request.number)
                    scheduler = scheduler.finished(request.number, sequence.tokens, complete = false, time.now)
                } else {
                    scheduler = scheduler.requeue(request.number, time.now)
                }
            }
            dispatch()
        }

        fun engineRecovered(engine: String) {
            router = router.setEligible(engine, true)
        }

        fun loadReported(load: Pair<String, UpstreamLoad>) {
            router = router.observeLoad(load.first, load.second, time.now)
        }

        fun cacheChanged(
            engine: String,
            events: CacheEvents,
        ) {
            router = router.observeCache(engine, events.sequence, events.stored, events.evicted)
        }
    }

    private companion object {
        const val TICK_MILLISECONDS = 100L
        const val RECOVERY_DETECTION_MILLISECONDS = 1_000L
    }
}

private fun SimulatedRequest.toWork() =
    QueuedWork(
        requestNumber = number,
        organisation = organisation,
        className = demand.settings.name,
        tier = demand.settings.tier,
        target = WorkTarget.Model(Scenario.MODEL),
        arrival = arrival,
        finishBy = finishBy,
        promptTokens = promptTokens,
        maximumTokens = null,
        bodyBytes = promptTokens * BYTES_PER_TOKEN,
        prefixBlocks = prefixBlocks,
        idempotent = true,
    )

private const val BYTES_PER_TOKEN = 4
