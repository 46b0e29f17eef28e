package hawthorncrank.scheduling

import hawthorncrank.common.ByteSize
import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass
import kotlin.random.Random

/**
 * Runs one scheduler through a random history in virtual time. After every step, the scheduler is compared with an
 * independent record of the queued and running requests; [violations] lists the rules that were broken.
 */
class SchedulerHistory(
    seed: Long,
    policy: SchedulingPolicy = SchedulingPolicy(),
    tierAware: Boolean = true,
) {
    private val random = Random(seed)
    private val configuration = historyConfiguration()
    private var scheduler = scheduler(configuration, policy)
    private var engines = FakeEngines(mapOf("e1" to 4, "e2" to 3), tierAware)
    private var now = 0L
    private var next = 1L
    private val queued = mutableMapOf<Long, QueuedWork>()
    private var requeued = 0
    val violations = mutableListOf<String>()
    var preemptions = 0
        private set
    var sheds = 0
        private set

    fun run(steps: Int): SchedulerHistory {
        repeat(steps) {
            step()
            dispatch()
            compare()
        }
        return this
    }

    private fun step() {
        now += random.nextLong(20)
        val running = engines.running.keys.toList()
        when (random.nextInt(100)) {
            in 0 until 62 -> offer()
            in 62 until 74 -> running.randomOrNull(random)?.let(::finish)
            in 74 until 86 -> running.randomOrNull(random)?.let(::progress)
            in 86 until 90 -> running.randomOrNull(random)?.let(::requeue)
            in 90 until 94 -> (running + queued.keys).randomOrNull(random)?.let(::callerLeft)
            in 94 until 96 -> now += random.nextLong(3_000)
            else -> scheduler = scheduler.configure(configuration)
        }
    }

    private fun offer() {
        val tier = random.nextInt(1, 6)
        val work =
            QueuedWork(
                next++,
                "o${random.nextInt(4)}",
                "tier-$tier",
                tier,
                WorkTarget.Model("m${random.nextInt(2)}"),
                now,
                if (random.nextBoolean()) now + random.nextLong(500, 20_000) else null,
                promptTokens = 10,
                maximumTokens = 200,
                bodyBytes = random.nextInt(1, 200),
                prefixBlocks = emptyList(),
                idempotent = random.nextInt(4) > 0,
            )
        when (val outcome = scheduler.offer(work, now)) {
            is OfferOutcome.Queued -> {
                scheduler = outcome.scheduler
                queued[work.requestNumber] = work
                outcome.shed.forEach { refused(it.work, it.reason) }
            }
            is OfferOutcome.Refused -> {
                scheduler = outcome.scheduler
                queued[work.requestNumber] = work
                refused(work, outcome.reason)
            }
        }
    }

    private fun finish(number: Long) {
        val tokens = engines.running.getValue(number).tokens + random.nextInt(1, 50)
        scheduler = scheduler.finished(number, tokens, complete = true, now)
        engines = engines.without(number)
    }

    private fun progress(number: Long) {
        val attempt = engines.running.getValue(number)
        val after = attempt.copy(tokens = attempt.tokens + random.nextInt(20), answerStarted = random.nextBoolean())
        val started = attempt.answerStarted || after.answerStarted
        engines = engines.copy(running = engines.running.put(number, after.copy(answerStarted = started)))
        scheduler = scheduler.progress(number, after.tokens, started, now)
    }

    private fun requeue(number: Long) {
        queued[number] = engines.running.getValue(number).work
        engines = engines.without(number)
        requeued++
        scheduler = scheduler.requeue(number, now)
    }

    private fun callerLeft(number: Long) {
        queued.remove(number)
        engines = engines.without(number)
        scheduler = scheduler.remove(number)
    }

    private fun dispatch() {
        var seen = engines
        val result = scheduler.dispatch(now, engines, FakeEngines.placement())
        for (decision in result.decisions) {
            when (decision) {
                is DispatchDecision.Refuse -> refused(decision.work, decision.reason)
                is DispatchDecision.Preempt -> {
                    checkPreemption(decision, seen)
                    seen = seen.without(decision.work.requestNumber)
                    queued[decision.work.requestNumber] = decision.work
                    requeued++
                    preemptions++
                }
                is DispatchDecision.Start -> {
                    val work = queued.remove(decision.work.requestNumber)
                    if (work == null) violations += "started ${decision.work.requestNumber}, which was not queued"
                    val attempt = FakeAttempt(decision.work, decision.upstream, decision.work.tier, decision.capacity)
                    seen = seen.copy(running = seen.running.put(decision.work.requestNumber, attempt))
                }
            }
        }
        scheduler = result.scheduler
        engines = result.routing
        checkOrder(result.decisions.filterIsInstance<DispatchDecision.Start>())
    }

    /** Checks R1: within a dispatch, shared work for a target starts from the highest tier down. */
    private fun checkOrder(starts: List<DispatchDecision.Start>) {
        val shared = starts.filter { it.capacity == CapacityKind.SHARED }
        for ((target, ofTarget) in shared.groupBy { it.work.target }) {
            val tiers = ofTarget.map { it.work.tier }
            if (tiers != tiers.sorted()) violations += "R1: started tiers $tiers for $target"
        }
    }

    /** Checks P1 for a refusal: no lower tier is queued for the model or occupies an upstream that could serve it. */
    private fun refused(
        work: QueuedWork,
        reason: RefusalReason,
    ) {
        if (queued.remove(work.requestNumber) ==
            null
        ) {
            violations += "refused ${work.requestNumber}, which was not queued"
        }
        if (reason != RefusalReason.QueueFull) return
        sheds++
        val lower = queued.values.filter { it.target == work.target && it.tier > work.tier }
        if (lower.isNotEmpty() && wouldFit(work, lower)) {
            violations += "P1: shed tier ${work.tier} while tier ${lower.first().tier} was queued"
        }
        val occupied =
            engines.slots.keys.firstOrNull { name ->
                engines.roomFor(name, work.tier) && engines.sharedOn(name).any { it.tier > work.tier }
            }
        if (occupied != null) violations += "P1: shed tier ${work.tier} while lower tiers occupied $occupied"
    }

    /** Whether the entry's queue with [work] would be within its bounds if all of [lower] were shed. */
    private fun wouldFit(
        work: QueuedWork,
        lower: List<QueuedWork>,
    ): Boolean {
        val bytes = (queued.values - lower.toSet()).sumOf { it.bodyBytes.toLong() } + work.bodyBytes
        val requests = queued.size - lower.size + 1
        return bytes <= configuration.classes.sumOf { it.queueSize.bytes } &&
            requests <= configuration.classes.sumOf { it.queueRequests }
    }

    /** Checks P1 and R4 for a preemption. */
    private fun checkPreemption(
        decision: DispatchDecision.Preempt,
        seen: FakeEngines,
    ) {
        val victim = seen.running[decision.work.requestNumber]
        val beneficiary = queued[decision.beneficiary]
        if (victim == null || beneficiary == null) {
            violations += "preempted ${decision.work.requestNumber}, which was not running, for ${decision.beneficiary}"
            return
        }
        if (victim.tier <=
            beneficiary.tier
        ) {
            violations += "P1: preempted tier ${victim.tier} for tier ${beneficiary.tier}"
        }
        if (!mayBePreempted(victim)) violations += "R4: preempted $victim"
        val lower =
            seen.running.values.firstOrNull {
                it.tier > victim.tier && mayBePreempted(it) && seen.roomFor(it.upstream, beneficiary.tier)
            }
        if (lower != null) violations += "P1: preempted tier ${victim.tier} while tier ${lower.tier} could be preempted"
    }

    private fun mayBePreempted(attempt: FakeAttempt) =
        attempt.capacity == CapacityKind.SHARED && attempt.work.idempotent && !attempt.answerStarted &&
            attempt.tokens == 0

    /** Checks that no request is lost or counted twice and that the bounds hold. */
    private fun compare() {
        val view = scheduler.view
        if (view.queued().map { it.requestNumber }.toSet() != queued.keys) violations += "queues differ at $now"
        if (view.inFlight().map { it.work.requestNumber }.toSet() !=
            engines.running.keys
        ) {
            violations += "attempts differ at $now"
        }
        if (view.queuedBytes != queued.values.sumOf { it.bodyBytes.toLong() }) violations += "bytes differ at $now"
        val bound = configuration.classes.sumOf { it.queueRequests + it.floorSlots } + requeued
        if (view.queuedRequests > bound) violations += "bounds: ${view.queuedRequests} queued of $bound"
        for (settings in configuration.classes) {
            val floor =
                engines.running.values.count {
                    it.work.className == settings.name &&
                        it.capacity == CapacityKind.FLOOR
                }
            if (view.floorInUse(settings.name) != floor) violations += "floor of ${settings.name} differs at $now"
            if (floor > settings.floorSlots) violations += "floor of ${settings.name} exceeded"
        }
    }
}

fun historyConfiguration(queueRequests: Int = 6) =
    Configuration(
        classes =
            List(5) {
                TrafficClass(
                    "tier-${it + 1}",
                    it + 1,
                    firstToken = Milliseconds(1_800),
                    queueRequests = queueRequests,
                    queueSize = ByteSize(queueRequests * 150L),
                )
            },
        organisations =
            List(
                4,
            ) { Organisation("o$it", "r", emptyList(), emptyList(), weight = 1 + it % 2, tokensPerSecond = 1_000_000) },
    )
