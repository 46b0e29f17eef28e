package hawthorncrank.capacity

import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.EngineScaling
import kotlin.random.Random

/** Decides on orders once a second of virtual time. */
internal typealias CapacityPolicy = (observation: ServiceObservation, now: Long) -> List<EngineOrder>

/** Late prompts and all prompts by class, and what the engines cost. */
internal class ReplayResult(
    val late: Map<String, Int>,
    val prompts: Map<String, Int>,
    val cost: Double,
    val mostEngines: Int,
    val changes: Int,
) {
    fun lateShare(kind: String): Double = late.getValue(kind).toDouble() / prompts.getValue(kind)

    override fun toString() =
        "late $late of $prompts, cost %.0f, at most $mostEngines engines, $changes orders".format(cost)
}

/** Replays [load] against engines whose number [policy] decides. Prompts go where their first event is expected first. */
internal class LoadReplay(
    private val load: ReplayedLoad,
    private val policy: CapacityPolicy,
    private val estimatedSpeed: Double = SimulatedEngine.TOKENS_PER_MILLISECOND * SPEED_ERROR,
) {
    private val platform =
        SimulatedPlatform(load.scaling.zonePrices, load.scaling.reclaimablePrice, load.scaling.boot.value)
    private val late = load.kinds.associate { it.name to 0 }.toMutableMap()
    private val tokens = HashMap<String, Int>()
    private val waiting = ArrayDeque<Prompt>()
    private var mostEngines = 0
    private var changes = 0

    fun run(): ReplayResult {
        load.scaling.zonePrices.keys.forEach {
            platform.order(
                EnginePool(it, false),
                load.enginesInZone,
                0,
                bootTime = 0,
            )
        }
        platform.orders.clear()
        var next = 0
        for (now in 0 until load.length step TICK_MILLISECONDS) {
            load.reclaims[now]?.let { platform.reclaim(it, now) }
            if (now % SECOND == 0L) decide(now)
            dispatchWaiting(now)
            while (next < load.prompts.size && load.prompts[next].arrival < now + TICK_MILLISECONDS) {
                val prompt = load.prompts[next]
                if (waiting.isNotEmpty() || !dispatch(prompt, prompt.arrival)) waiting += prompt
                next++
            }
        }
        return ReplayResult(
            late,
            load.prompts
                .groupingBy {
                    it.kind.name
                }.eachCount(),
            platform.cost(load.length),
            mostEngines,
            changes,
        )
    }

    /** Callers give up after a while, and what waits is tried in order until no slot is left. */
    private fun dispatchWaiting(now: Long) {
        while (waiting.isNotEmpty()) {
            val prompt = waiting.first()
            if (now - prompt.arrival > GIVEN_UP_MILLISECONDS) {
                late.merge(prompt.kind.name, 1, Int::plus)
            } else if (!dispatch(prompt, now)) {
                return
            }
            waiting.removeFirst()
        }
    }

    private fun dispatch(
        prompt: Prompt,
        now: Long,
    ): Boolean {
        val time = now.toDouble()
        val usable =
            platform.serving(now, LIST_LAG).filter { it.running(time) < SimulatedEngine.SLOTS }
        val engine = usable.minByOrNull { it.prefillEnd(prompt, time) } ?: return false
        tokens.merge(prompt.kind.name, engine.tokens(prompt), Int::plus)
        val first = engine.run(prompt, time)
        val onTime = first <= engine.goneAt && first - prompt.arrival <= prompt.kind.firstEvent
        if (!onTime) late.merge(prompt.kind.name, 1, Int::plus)
        return true
    }

    private fun decide(now: Long) {
        val classes =
            load.kinds.map { kind ->
                val own = waiting.filter { it.kind === kind }
                ClassDemand(
                    name = kind.name,
                    tier = kind.tier,
                    firstToken = kind.firstEvent,
                    prefillShare = (tokens[kind.name] ?: 0) / estimatedSpeed / SECOND,
                    runningStreams = 0,
                    waitingMilliseconds = own.size * kind.ownTokens / estimatedSpeed,
                )
            }
        tokens.clear()
        val streams = platform.engines.sumOf { if (now < it.goneAt) it.running(now.toDouble()) else 0 }
        val demand =
            ServiceDemand(
                classes.dropLast(1) + classes.last().copy(runningStreams = streams),
                entries = 7,
                age = SECOND,
            )
        val observation =
            ServiceObservation(
                "engine",
                load.scaling,
                demand.takeIf {
                    now > 0
                },
                platform.listed(now - LIST_LAG),
                LIST_LAG,
                platform.orders.toMap(),
            )
        val orders = policy(observation, now)
        changes += orders.size
        orders.forEach { platform.order(it.pool, it.count, now) }
        mostEngines = maxOf(mostEngines, platform.engines.count { now < it.goneAt })
    }

    private companion object {
        const val SECOND = 1_000L
        const val TICK_MILLISECONDS = 50L
        const val LIST_LAG = 1_000L
        const val GIVEN_UP_MILLISECONDS = 10_000L

        // Speeds are estimated from lower bounds.
        const val SPEED_ERROR = 0.9
    }
}

/** Ten minutes in which the rate falls to 0.4 and rises to 1.3, with bursts of one class and reclaimed zones. */
internal class ReplayedLoad(
    seed: Int,
    val length: Long = 600_000,
) {
    val kinds =
        listOf(
            PromptKind("long", tier = 3, sharedTokens = 13_300, ownTokens = 3_720, events = 30, firstEvent = 2_500),
            PromptKind("middle", tier = 2, sharedTokens = 6_300, ownTokens = 2_890, events = 13, firstEvent = 1_500),
            PromptKind("short", tier = 1, sharedTokens = 350, ownTokens = 1_110, events = 43, firstEvent = 1_500),
        )
    val enginesInZone = 7
    val scaling =
        EngineScaling(
            minimum = 1,
            maximum = 14,
            boot = Milliseconds(4_000),
            reclaimablePrice = 0.18,
            zonePrices = mapOf("a" to 1.0, "b" to 0.8, "c" to 0.9, "d" to 1.1, "e" to 1.0, "f" to 0.95),
        )
    private val random = Random(seed)
    private val bursts = burstsOfClasses()
    val reclaims: Map<Long, String> =
        (20_000L until length step 45_000L).associate {
            it + random.nextLong(400) * 50 to
                scaling.zonePrices.keys.random(random)
        }
    val prompts = kinds.flatMap(::promptsOf).sortedBy { it.arrival }

    /** Requests a second. */
    fun rate(
        kind: PromptKind,
        now: Long,
    ): Double {
        val minute = now / 60_000.0
        val shape =
            when {
                minute < 2 -> 1.0
                minute < 3 -> 1.0 - 0.6 * (minute - 2)
                minute < 5 -> 0.4
                minute < 8 -> 0.4 + 0.3 * (minute - 5)
                else -> 1.3
            }
        val burst = bursts.any { it.kind === kind && now in it.from until it.until }
        return RATE * shape * if (burst) BURST else 1.0
    }

    private fun promptsOf(kind: PromptKind): List<Prompt> {
        val prompts = ArrayList<Prompt>()
        var time = 0.0
        while (true) {
            time += -kotlin.math.ln(1 - random.nextDouble()) * 1_000 / rate(kind, time.toLong())
            if (time >= length) return prompts
            prompts += Prompt(kind, "${kind.name}-${random.nextInt(SHARED_PARTS)}", time.toLong())
        }
    }

    private fun burstsOfClasses(): List<Burst> =
        (15_000L until length step 30_000L).map { earliest ->
            val from = earliest + random.nextLong(15_000)
            Burst(kinds.random(random), from, from + random.nextLong(5_000, 9_000))
        }

    private class Burst(
        val kind: PromptKind,
        val from: Long,
        val until: Long,
    )

    private companion object {
        const val RATE = 50.0
        const val BURST = 2.4
        const val SHARED_PARTS = 6
    }
}
