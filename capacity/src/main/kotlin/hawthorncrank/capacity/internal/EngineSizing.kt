package hawthorncrank.capacity.internal

import hawthorncrank.capacity.ClassDemand
import hawthorncrank.capacity.ServiceObservation
import kotlin.math.ceil
import kotlin.math.max

/**
 * Derives the number of engines from demand. The load of the engines alone would not show what callers ask for once the
 * engines are full.
 */
internal fun engineNeed(
    samples: List<DemandSample>,
    slots: Int,
    lead: Long,
): EngineNeed {
    val recent = samples.takeLast(RECENT_SAMPLES)
    val newest = samples.last().classes
    val sustained = newest.mapValues { (name, load) -> sustained(name, load, samples) }
    val present = newest.mapValues { (name, _) -> recent.sumOf { it.classes[name]?.prefill ?: 0.0 } / recent.size }
    val waiting = newest.values.sumOf { it.waiting }
    val total =
        maxOf(
            (present.values.sum() + waiting) / FULL_USE,
            burstNeed(sustained, lead),
            streamNeed(sustained, slots),
            newest.values.sumOf { it.streams } / (slots * FULL_USE),
        )
    val urgentTier = newest.filterValues { it.prefill > 0 || it.streams > 0 }.values.minOfOrNull { it.tier }
    val urgent = newest.filterValues { it.tier == urgentTier }.keys
    val regular = urgent.sumOf { max(sustained.getValue(it).prefill, present.getValue(it)) } / FULL_USE
    val engines = engines(total)
    return EngineNeed(engines, engines(regular).coerceAtMost(engines))
}

/** The median is not moved by a burst that lasts less than half of the samples, so no headroom is kept for two bursts. */
private fun sustained(
    name: String,
    newest: ClassLoad,
    samples: List<DemandSample>,
): ClassLoad =
    newest.copy(
        prefill = samples.map { it.classes[name]?.prefill ?: 0.0 }.sorted()[samples.size / 2],
        streams = samples.map { it.classes[name]?.streams ?: 0 }.sorted()[samples.size / 2],
    )

/**
 * A burst builds up a backlog until new engines serve. Engines suffice if a prompt that arrives then waits for at most half
 * of its target.
 */
private fun burstNeed(
    sustained: Map<String, ClassLoad>,
    lead: Long,
): Double {
    val base = sustained.values.sumOf { it.prefill }
    return sustained.values.maxOfOrNull { load ->
        val wait = (load.firstToken ?: 0) / 2
        (base + (BURST_FACTOR - 1) * load.prefill) * lead / (lead + wait) / FULL_USE
    } ?: 0.0
}

private fun streamNeed(
    sustained: Map<String, ClassLoad>,
    slots: Int,
): Double {
    val burst = sustained.values.maxOfOrNull { it.streams } ?: 0
    return (sustained.values.sumOf { it.streams } + (BURST_FACTOR - 1) * burst) / (slots * FULL_USE)
}

private fun engines(share: Double): Int = ceil(share).toInt().coerceAtLeast(1)

/** Returns null if a class has no estimate of its prefill time, or if the demand is not known to be recent. */
internal fun demandSample(
    observation: ServiceObservation,
    now: Long,
): DemandSample? {
    val demand = observation.demand?.takeIf { it.age <= LONGEST_AGE_MILLISECONDS } ?: return null
    if (demand.classes.isEmpty() || demand.classes.any { it.prefillShare == null }) return null
    return DemandSample(now, demand.entries, demand.classes.associate { it.name to it.load() })
}

private fun ClassDemand.load() =
    ClassLoad(
        tier,
        firstToken,
        prefillShare ?: 0.0,
        waitingMilliseconds / WAITING_FINISHED_IN_MILLISECONDS,
        runningStreams,
    )

/** A list or demand that is older than this justifies no reduction. */
internal const val LONGEST_AGE_MILLISECONDS = 3_000L

/** The highest rate of one class that is prepared for, as a multiple of its sustained rate. */
private const val BURST_FACTOR = 2.5

/** Above this share of their time, prompts that arrive at random wait long for each other. */
private const val FULL_USE = 0.8

/** Prompts that wait are to be finished within this time, in addition to those that arrive. */
private const val WAITING_FINISHED_IN_MILLISECONDS = 2_000.0

// One second of demand varies by chance by 14 % at 50 requests a second, and three seconds by 8 %.
private const val RECENT_SAMPLES = 3
