package hawthorncrank.routing.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.math.abs

/**
 * What this entry has observed of the prompts of one target. [shortShare] is the share of engines that is kept for short
 * prompts.
 */
internal data class TargetLoad(
    val speed: PrefillSpeed = PrefillSpeed(),
    val classes: PersistentMap<StreamTargets, ClassLoad> = persistentHashMapOf(),
    val shortShare: Double = INITIAL_SHARE,
    val fastestPace: FastestPace = FastestPace(),
) {
    /** The share of recent prefill that was for the given classes. */
    fun prefillShare(
        now: Long,
        isCounted: (StreamTargets) -> Boolean,
    ): Double {
        val all = classes.values.sumOf { it.prefilled(now) }
        val counted = classes.filterKeys(isCounted).values.sumOf { it.prefilled(now) }
        return if (all > 0) counted / all else 0.0
    }

    /**
     * Groups the classes of the target. Those whose prompts are usually long are not kept apart. Until enough prompts were
     * seen, classes with long pauses are taken for those.
     */
    fun groups(
        configured: Set<StreamTargets>,
        now: Long,
    ): PromptGroups {
        val known = requests(now) >= ENOUGH_REQUESTS
        val considered =
            configured.filter { if (known) requests(it, now) >= LEAST_REQUESTS else it.betweenTokens != null }
        val size: (StreamTargets) -> Double = { if (known) averagePrompt(it, now) else it.pause.toDouble() }
        val longest = considered.maxOfOrNull(size) ?: return PromptGroups.NONE
        val (long, short) = considered.partition { size(it) > longest * LONG }
        val shortestPause = considered.minOf { it.pause }
        val sensitive = short.filter { it.pause < shortestPause * SIMILAR_PAUSES }
        if (sensitive.isEmpty()) return PromptGroups.NONE
        val longPrompt = if (known) longest * LONG else null
        return PromptGroups(sensitive.toSet(), short.toSet(), long.toSet(), longPrompt)
    }

    /**
     * Counts a started attempt with [prefillTokens] of its [promptTokens] to prefill, and lets the share follow the load with
     * some hysteresis.
     */
    fun started(
        targets: StreamTargets,
        promptTokens: Int,
        prefillTokens: Int,
        groups: PromptGroups,
        millisecondsPerRequest: Double,
        now: Long,
    ): TargetLoad {
        val ofClass = (classes[targets] ?: ClassLoad()).started(promptTokens, prefillTokens, now)
        val next = copy(classes = classes.put(targets, ofClass))
        if (next.requests(now) < ENOUGH_REQUESTS) return next
        val wanted = next.wantedShare(groups.kept, millisecondsPerRequest, now)
        return if (abs(wanted - shortShare) < SHARE_STEP) next else next.copy(shortShare = wanted)
    }

    private fun wantedShare(
        kept: Set<StreamTargets>,
        millisecondsPerRequest: Double,
        now: Long,
    ): Double {
        val work = classes.mapValues { (_, load) -> load.work(speed, millisecondsPerRequest, now) }
        val ofKept = work.filterKeys { it in kept }.values.sum()
        return (ofKept / work.values.sum().coerceAtLeast(1.0)).coerceAtMost(LARGEST_SHARE)
    }

    /** Forgets classes that are no longer configured. */
    fun retain(configured: Set<StreamTargets>): TargetLoad =
        copy(classes = (classes.keys - configured).fold(classes) { map, targets -> map.remove(targets) })

    private fun requests(now: Long): Double = classes.values.sumOf { it.requests.value(now) }

    private fun requests(
        targets: StreamTargets,
        now: Long,
    ): Double = classes[targets]?.requests?.value(now) ?: 0.0

    private fun averagePrompt(
        targets: StreamTargets,
        now: Long,
    ): Double = classes[targets]?.averagePrompt(now) ?: 0.0

    private companion object {
        /** With fewer recent requests the observed mix says little, and all configured classes are considered. */
        const val ENOUGH_REQUESTS = 5.0
        const val LEAST_REQUESTS = 0.2
        const val INITIAL_SHARE = 1.0 / 3
        const val SHARE_STEP = 0.1

        /** Short prompts may also go to the other engines, where they only have more pauses; long ones have no others. */
        const val LARGEST_SHARE = 0.4

        /** Prompts above this share of the average in the class with the longest ones count as long. */
        const val LONG = 0.7

        /** Pauses up to this factor above the shortest count as equally short. */
        const val SIMILAR_PAUSES = 1.5
    }
}
