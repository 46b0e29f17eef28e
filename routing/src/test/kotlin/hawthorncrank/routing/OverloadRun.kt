package hawthorncrank.routing

import hawthorncrank.capacity.EngineSpeeds
import hawthorncrank.capacity.slowEngines
import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.scheduling.DispatchDecision
import hawthorncrank.scheduling.OfferOutcome
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.SchedulingPolicy
import hawthorncrank.scheduling.WorkTarget
import hawthorncrank.scheduling.scheduler
import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.math.ln

/**
 * Replays [factor] times the load, by kind and time, in virtual time on entries that do not see each other's requests. Callers leave at
 * their deadline or after a long pause, and come back once after a refusal. Streams that a crash breaks off are not counted.
 */
internal class OverloadRun(
    private val load: PromptLoad,
    private val factor: (StreamKind, Double) -> Double,
    private val crashes: List<EngineCrash>,
    private val seed: Long,
    private val readsReports: Boolean = false,
    private val pace: (String) -> EnginePace = { EnginePace { _, work -> work } },
) {
    private val random = SplittableRandom(seed)
    private val source = StreamSource(load, random)
    private val engines = load.upstreams.associate { it.name to SimulatedFullEngine(load.engines, pace(it.name)) }
    private val entries = List(load.entries) { SimulatedEntry(it) }
    private val events = PriorityQueue<Triple<Double, Long, () -> Unit>>(compareBy({ it.first }, { it.second }))
    private var eventNumber = 0L
    private val stepping = HashSet<String>()
    private val down = HashSet<String>()
    private val callers = ArrayList<OverloadCaller>()
    private var speeds = EngineSpeeds()
    private var slow = emptyMap<String, Double>()
    private var now = 0.0

    /** All engines that were ever taken for slow. */
    val foundSlow = HashSet<String>()

    fun run(): List<OverloadCaller> {
        load.kinds.forEach { scheduleArrival(it, number = 1) }
        crashes.forEach { crash -> at(crash.at) { crashEngines(crash) } }
        tick()
        if (readsReports) readReports()
        while (events.isNotEmpty() && events.peek().first < DURATION + LAST_ANSWERS) {
            val (at, _, action) = events.poll()
            now = at
            action()
        }
        return callers.filterNot { it.brokenOff }
    }

    /** The share of all prompt tokens read that were parts which some engine had read before. */
    fun readAgain(): Double {
        val byPart = engines.values.flatMap { it.readParts.entries }.groupBy({ it.key }, { it.value })
        val again = byPart.values.sumOf { it.flatten().drop(1).sum() }
        return again / engines.values.sumOf { it.readTokens }.toDouble()
    }

    private fun at(
        time: Double,
        action: () -> Unit,
    ) {
        events += Triple(time, eventNumber++, action)
    }

    private fun scheduleArrival(
        kind: StreamKind,
        number: Long,
    ) {
        val rate = kind.perSecond * factor(kind, now)
        at(now - ln(1 - random.nextDouble()) / rate * 1_000) {
            if (now < DURATION) {
                scheduleArrival(kind, number + 1)
                val stream = source.draw(kind, number, random.nextInt(entries.size), now)
                val caller = OverloadCaller(stream, load.engines.tokensPerEvent)
                callers += caller
                entries[stream.entry].arrive(caller)
            }
        }
    }

    private fun tick() {
        entries.forEach { it.tick() }
        at(now + TICK) { tick() }
    }

    private fun readReports() {
        engines.forEach { (name, engine) ->
            if (name !in down) speeds = speeds.reported(name, engine.report(now.toLong()))
        }
        slow = slowEngines(speeds.slowdowns(), slow)
        foundSlow += slow.keys
        val decided = slow
        at(now + DECISION_DELAY) { entries.forEach { it.slowEnginesFound(decided) } }
        at(now + REPORT_INTERVAL) { readReports() }
    }

    private fun crashEngines(crash: EngineCrash) {
        val count = (engines.size * crash.share + 0.5).toInt()
        val names = engines.keys.sortedBy { SplittableRandom(it.hashCode() + crash.at.toLong()).nextLong() }.take(count)
        names.forEach { name ->
            down += name
            engines.getValue(name).crash()
            entries.forEach { it.crashed(name) }
        }
        at(now + crash.down) {
            down -= names.toSet()
            names.forEach { name -> entries.forEach { it.returned(name) } }
        }
    }

    private fun step(name: String) {
        val engine = engines.getValue(name)
        if (name in down || engine.idle || !stepping.add(name)) return
        val step = engine.step(now)
        at(now + step.milliseconds) {
            stepping -= name
            step.events.forEach { entries[it.entry].produced(it) }
            step.ended.forEach { entries[it.entry].ended(it) }
            step(name)
        }
    }

    /** One entry with its scheduler and its router. A caller that comes back arrives at any entry. */
    private inner class SimulatedEntry(
        private val index: Int,
    ) {
        private var scheduler = scheduler(configuration(), SchedulingPolicy(preemption = false, floor = false))
        private var router = load.router(configuration(), index, seed + index)
        private val active = HashMap<Long, OverloadCaller>()

        fun arrive(caller: OverloadCaller) {
            caller.offeredAt = now
            active[caller.stream.number] = caller
            val outcome = scheduler.offer(work(caller), now.toLong())
            scheduler = outcome.scheduler
            if (outcome is OfferOutcome.Refused) refused(caller, outcome.retryAfterMilliseconds)
            dispatch()
        }

        fun tick() {
            active.values.filter { it.leavesBy(now) }.forEach(::leave)
            dispatch()
        }

        fun produced(stream: SimulatedStream) {
            val caller = active[stream.number] ?: return
            val events = stream.tokens / load.engines.tokensPerEvent
            caller.lastEventAt = now
            if (events == 1) router = router.firstTokenReceived(stream.number, now.toLong())
            if (now - caller.progressAt < PROGRESS_INTERVAL) return
            caller.progressAt = now
            router = router.attemptProgress(stream.number, events, now.toLong())
            scheduler = scheduler.progress(stream.number, events, answerStarted = true, now.toLong())
        }

        fun ended(stream: SimulatedStream) {
            val caller = active.remove(stream.number) ?: return
            caller.served = true
            val events = stream.tokens / load.engines.tokensPerEvent
            router = router.attemptEnded(stream.number)
            scheduler = scheduler.finished(stream.number, events, complete = true, now.toLong())
            dispatch()
        }

        fun slowEnginesFound(slow: Map<String, Double>) {
            router = router.setSlowdowns(slow)
        }

        fun crashed(name: String) {
            router = router.setEligible(name, false)
            active.values.filter { it.engine == name }.forEach { caller ->
                caller.brokenOff = true
                end(caller)
            }
        }

        fun returned(name: String) {
            router = router.setEligible(name, true)
        }

        private fun leave(caller: OverloadCaller) {
            caller.engine?.let { engines.getValue(it).cancel(caller.stream) }
            end(caller)
        }

        private fun end(caller: OverloadCaller) {
            val number = caller.stream.number
            active -= number
            router = router.attemptEnded(number)
            scheduler =
                if (caller.engine == null) {
                    scheduler.remove(number)
                } else {
                    val events = caller.stream.tokens / load.engines.tokensPerEvent
                    scheduler.finished(number, events, complete = false, now.toLong())
                }
        }

        private fun refused(
            caller: OverloadCaller,
            retryAfter: Long,
        ) {
            active -= caller.stream.number
            if (caller.returned) return
            caller.returned = true
            val pause = minOf(retryAfter.toDouble(), (caller.deadline - now) / PATIENCE)
            val stream = caller.stream.at(random.nextInt(entries.size))
            caller.stream = stream
            at(now + pause) { entries[stream.entry].arrive(caller) }
        }

        private fun dispatch() {
            val result = scheduler.dispatch(now.toLong(), router, routerPlacement(now.toLong()))
            scheduler = result.scheduler
            router = result.routing
            result.decisions.forEach { decision ->
                val caller = active.getValue(decision.work.requestNumber)
                when (decision) {
                    is DispatchDecision.Start -> start(caller, decision.upstream)
                    is DispatchDecision.Refuse -> refused(caller, decision.retryAfterMilliseconds)
                    is DispatchDecision.Preempt -> error("preemption is off")
                }
            }
        }

        private fun start(
            caller: OverloadCaller,
            name: String,
        ) {
            caller.engine = name
            val delay = load.delayTo(name, index)
            at(now + delay) {
                if (active[caller.stream.number] === caller && name !in down) {
                    engines.getValue(name).submit(caller.stream)
                    step(name)
                }
            }
        }

        private fun work(caller: OverloadCaller): QueuedWork {
            val stream = caller.stream
            return QueuedWork(
                stream.number,
                "organisation",
                stream.kind.name,
                1,
                WorkTarget.Model("model"),
                arrival = now.toLong(),
                finishBy = caller.deadline.toLong(),
                promptTokens = stream.kind.sharedTokens + stream.kind.ownTokens,
                maximumTokens = null,
                bodyBytes = 100,
                prefixBlocks = listOf(stream.part, -stream.number),
                idempotent = true,
                sharedTokens = stream.kind.sharedTokens,
            )
        }
    }

    private fun configuration(): Configuration {
        val classes =
            load.kinds.map {
                TrafficClass(
                    it.name,
                    1,
                    Milliseconds(it.firstEvent),
                    Milliseconds(it.pause),
                    Milliseconds(it.deadline),
                )
            }
        val organisation =
            Organisation(
                "organisation",
                "region",
                classes.map { it.name },
                emptyList(),
                NO_LIMIT,
                NO_LIMIT,
                NO_LIMIT,
            )
        return Configuration(classes = classes, organisations = listOf(organisation), upstreams = load.upstreams)
    }

    private companion object {
        const val DURATION = 40_000.0
        const val LAST_ANSWERS = 20_000.0
        const val TICK = 100.0
        const val PROGRESS_INTERVAL = 250.0
        const val REPORT_INTERVAL = 1_000.0

        /** Until the decision is committed and entries have asked for the list of upstreams. */
        const val DECISION_DELAY = 700.0
        const val NO_LIMIT = 1_000_000

        /** Callers wait for a third of the time that they have left at most. */
        const val PATIENCE = 3
    }
}
