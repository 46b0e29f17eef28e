package hawthorncrank.routing

import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.WorkTarget
import java.util.SplittableRandom

/** How entries treat servers that return: as the product does, or as one of the alternatives that were considered. */
internal enum class WarmUpRule { FOLLOWS_ANSWERS, NO_BOUND, RAMP_BY_TIME }

/** A load on [servers], of which those in [returning] come back at once for all entries. Times count from then. */
internal class WarmUpLoad(
    val servers: () -> List<WarmUpServer>,
    val returning: Set<String>,
    val perSecond: Double,
    val slots: Int,
    val entries: Int = 12,
    val promptTokens: Int = 0,
)

internal class WarmUpOutcome(
    val requests: Int,
    val late: Int,
    val failed: Int,
    val mostInProgress: Int,
    val fullShareAfter: Double?,
    val warmAfter: Double?,
) {
    override fun toString() =
        "$late of $requests late, $failed failed, at most $mostInProgress in progress, full share after $fullShareAfter ms, warm after $warmAfter ms"
}

/** Replays a load in virtual time on entries that see only their own requests, from [BEFORE] until [AFTER] the return. */
internal class WarmUpRun(
    private val load: WarmUpLoad,
    private val rule: WarmUpRule,
) {
    private val random = SplittableRandom(5)
    private val servers = load.servers().associateBy { it.name }
    private val routers = MutableList(load.entries, ::initialRouter)
    private val waiting = List(load.entries) { ArrayDeque<WarmUpRequest>() }
    private val runningAt = List(load.entries) { HashMap<WarmUpRequest, String>() }
    private val probes = ArrayList<Triple<Double, Int, String>>()
    private val starts = ArrayList<Pair<Double, String>>()
    private var now = -BEFORE
    private var arrivals = 0L
    private var late = 0
    private var warmingUntil: Double? = null
    private var failed = 0
    private var requests = 0

    fun outcome(): WarmUpOutcome {
        while (now < AFTER) {
            if (now == 0.0) load.returning.forEach(::comeBack)
            step()
            if (now >= 0 && routers.any { it.view.warmingUpstreams(clock()).isNotEmpty() }) warmingUntil = now
            now += STEP
        }
        late += waiting.sumOf { queue -> queue.count { clock() - it.arrival > TARGET } }
        val mostInProgress = load.returning.maxOf { servers.getValue(it).mostInProgress }
        return WarmUpOutcome(requests, late, failed, mostInProgress, share(), warmingUntil)
    }

    private fun step() {
        repeat(load.entries) { if (random.nextDouble() < load.perSecond / load.entries * STEP / 1_000) arrive(it) }
        probe()
        routers.indices.forEach(::startWaiting)
        servers.values.forEach { server -> server.step(now, STEP).forEach { (request, fails) -> end(request, fails) } }
    }

    private fun comeBack(server: String) = routers.indices.forEach { comeBack(it, server) }

    private fun comeBack(
        entry: Int,
        server: String,
    ) {
        val returned = routers[entry].setEligible(server, true)
        routers[entry] = if (rule == WarmUpRule.FOLLOWS_ANSWERS) returned.recovered(server, clock()) else returned
    }

    private fun arrive(entry: Int) {
        if (now >= 0) requests++
        waiting[entry] += WarmUpRequest(++arrivals * load.entries + entry, clock(), random.nextLong(PARTS))
    }

    private fun startWaiting(entry: Int) {
        while (true) {
            val request = waiting[entry].firstOrNull() ?: return
            val question =
                RoutingQuestion(work(request), 1, CapacityKind.SHARED, PlacementConstraint(excludedByRamp(entry)))
            val answer = routers[entry].place(question, clock()) as? RoutingAnswer.Chosen ?: return
            waiting[entry].removeFirst()
            val attempt = RoutedAttempt(request.number, answer.upstream, work(request), 1, CapacityKind.SHARED)
            routers[entry] = answer.router.attemptStarted(attempt, clock())
            runningAt[entry][request] = answer.upstream
            starts += now to answer.upstream
            servers.getValue(answer.upstream).submit(request, WORK)
        }
    }

    private fun end(
        request: WarmUpRequest,
        fails: Boolean,
    ) {
        val entry = (request.number % load.entries).toInt()
        val server = runningAt[entry].remove(request)!!
        val router = routers[entry]
        if (fails) {
            failed++
            routers[entry] =
                router.attemptFailed(request.number, clock()).attemptEnded(request.number).setEligible(server, false)
            waiting[entry].addFirst(request)
            if (probes.none { it.second == entry && it.third == server }) probes += Triple(now + PROBE, entry, server)
            return
        }
        if (request.arrival >= ORIGIN && clock() - request.arrival > TARGET) late++
        routers[entry] = router.firstTokenReceived(request.number, clock()).attemptEnded(request.number)
    }

    private fun probe() {
        val due = probes.filter { it.first <= now }
        probes -= due.toSet()
        due.forEach { (_, entry, server) ->
            if (servers.getValue(server).isUp(now)) {
                comeBack(entry, server)
            } else {
                probes +=
                    Triple(now + PROBE, entry, server)
            }
        }
    }

    private fun excludedByRamp(entry: Int): Set<String> {
        if (rule != WarmUpRule.RAMP_BY_TIME || now < 0) return emptySet()
        val bound = maxOf(1.0, load.slots.toDouble() / load.entries * now / RAMP)
        return load.returning.filterTo(HashSet()) { routers[entry].view.inFlight(it) + 1 > bound }
    }

    /** When the returning servers were first sent as many requests in half a second as the others, less a fifth. */
    private fun share(): Double? =
        generateSequence(WINDOW) { it + STEP }.takeWhile { it < AFTER }.firstOrNull { end ->
            val counts = starts.filter { it.first in end - WINDOW..end }.groupingBy { it.second }.eachCount()
            val (returned, others) = servers.keys.partition { it in load.returning }
            val mean = others.sumOf { counts[it] ?: 0 } / others.size.toDouble()
            returned.sumOf { counts[it] ?: 0 } / returned.size.toDouble() >= ENOUGH * mean
        }

    private fun clock() = ORIGIN + now.toLong()

    private fun work(request: WarmUpRequest) =
        QueuedWork(
            request.number,
            "organisation",
            "class",
            1,
            target,
            request.arrival,
            finishBy = request.arrival + TIME,
            promptTokens = load.promptTokens,
            maximumTokens = null,
            bodyBytes = 100,
            prefixBlocks = if (load.promptTokens > 0) listOf(request.part, -request.number) else emptyList(),
            idempotent = true,
            sharedTokens = load.promptTokens * 9 / 10,
        )

    private val target: WorkTarget
        get() = if (load.promptTokens > 0) WorkTarget.Model("served") else WorkTarget.Service("served")

    private fun initialRouter(entry: Int): Router {
        val kind = if (load.promptTokens > 0) UpstreamKind.ENGINE else UpstreamKind.SERVICE
        val upstreams =
            load.servers().map {
                Upstream(it.name, kind, "", "z", "r", listOf("served"), "served", slots = load.slots)
            }
        val configuration =
            Configuration(listOf(TrafficClass("class", 1, Milliseconds(TARGET))), upstreams = upstreams)
        val policy = RoutingPolicy(ChoiceRule.LEAST_DELAY, reservesFloors = false)
        val settings = WarmUpSettings("entry-$entry")
        val created = router(configuration, RouterLocation("z", "r"), load.entries, entry + 1L, policy, settings)
        return load.returning.fold(created) { router, name -> router.setEligible(name, false) }
    }

    private companion object {
        const val ORIGIN = 1_000_000L
        const val STEP = 5.0
        const val BEFORE = 3_000.0
        const val AFTER = 10_000.0
        const val WORK = 100.0
        const val TARGET = 300L
        const val TIME = 2_000L
        const val PARTS = 3L
        const val PROBE = 1_000.0
        const val RAMP = 10_000.0
        const val WINDOW = 500.0
        const val ENOUGH = 0.8
    }
}
