package hawthorncrank.routing.internal

import hawthorncrank.protocol.TrafficClass
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.math.abs

/**
 * What this entry has observed of the prompts of one target. [shortShare] is the share of engines that is kept for the
 * classes whose callers count short pauses.
 */
internal data class TargetLoad(
    val speed: PrefillSpeed = PrefillSpeed(),
    val classes: PersistentMap<String, ClassLoad> = persistentHashMapOf(),
    val shortShare: Double = INITIAL_SHARE,
) {
    /**
     * Groups the classes of the target. Those with the shortest pauses are kept apart unless their prompts are as long as
     * the longest, together with prompts of middle length if their pauses bear these. Until enough prompts were seen, the
     * classes with long pauses are taken for those with long prompts.
     */
    fun groups(
        configured: Map<String, TrafficClass>,
        tokensPerEvent: Int,
        now: Long,
    ): PromptGroups {
        val known = requests(now) >= ENOUGH_REQUESTS
        val considered =
            configured.values.filter {
                if (known) requests(it.name, now) >= LEAST_REQUESTS else it.betweenTokens != null
            }
        val size: (TrafficClass) -> Double = { if (known) averagePrompt(it, now) else it.pause.toDouble() }
        val longest = considered.maxOfOrNull(size) ?: return PromptGroups.NONE
        val (long, short) = considered.partition { size(it) > longest * LONG }
        val shortestPause = considered.minOf { it.pause }
        val sensitive = short.filter { it.pause < shortestPause * SIMILAR_PAUSES }
        if (sensitive.isEmpty()) return PromptGroups.NONE
        val kept = if (bearsPrefill(shortestPause, tokensPerEvent)) short else sensitive
        return PromptGroups(namesOf(sensitive), namesOf(kept), namesOf(long))
    }

    /**
     * Whether streams stay within their pauses while their engine prefills prompts in every step. The speed is a lower bound,
     * which leaves time for the tokens themselves and for chunks that take longer late in a prompt.
     */
    private fun bearsPrefill(
        pause: Long,
        tokensPerEvent: Int,
    ): Boolean = tokensPerEvent * speed.millisecondsFor(CHUNK_TOKENS) < pause

    /**
     * Counts a started attempt with [prefillTokens] of its [promptTokens] to prefill, and lets the share follow the load with
     * some hysteresis.
     */
    fun started(
        className: String,
        promptTokens: Int,
        prefillTokens: Int,
        groups: PromptGroups,
        millisecondsPerRequest: Double,
        now: Long,
    ): TargetLoad {
        val ofClass = (classes[className] ?: ClassLoad()).started(promptTokens, prefillTokens, now)
        val next = copy(classes = classes.put(className, ofClass))
        if (next.requests(now) < ENOUGH_REQUESTS) return next
        val wanted = next.wantedShare(groups.kept, millisecondsPerRequest, now)
        return if (abs(wanted - shortShare) < SHARE_STEP) next else next.copy(shortShare = wanted)
    }

    private fun wantedShare(
        kept: Set<String>,
        millisecondsPerRequest: Double,
        now: Long,
    ): Double {
        val work = classes.mapValues { (_, load) -> load.work(speed, millisecondsPerRequest, now) }
        val ofKept = work.filterKeys { it in kept }.values.sum()
        return (ofKept / work.values.sum().coerceAtLeast(1.0)).coerceAtMost(LARGEST_SHARE)
    }

    /** Forgets classes that are no longer configured. */
    fun retain(configured: Set<String>): TargetLoad =
        copy(classes = (classes.keys - configured).fold(classes) { map, name -> map.remove(name) })

    private fun requests(now: Long): Double = classes.values.sumOf { it.requests.value(now) }

    private fun requests(
        className: String,
        now: Long,
    ): Double = classes[className]?.requests?.value(now) ?: 0.0

    private fun namesOf(group: List<TrafficClass>): Set<String> = group.mapTo(HashSet()) { it.name }

    private fun averagePrompt(
        trafficClass: TrafficClass,
        now: Long,
    ): Double = classes[trafficClass.name]?.averagePrompt(now) ?: 0.0

    private val TrafficClass.pause: Long
        get() = betweenTokens?.value ?: Long.MAX_VALUE

    private companion object {
        /** With fewer recent requests the observed mix says little, and all configured classes are considered. */
        const val ENOUGH_REQUESTS = 5.0
        const val LEAST_REQUESTS = 0.2
        const val INITIAL_SHARE = 1.0 / 3
        const val SHARE_STEP = 0.1

        /** Short prompts may also go to the other engines, where they only have more pauses; long ones have no others. */
        const val LARGEST_SHARE = 0.4

        /** Prompts above this share of the longest ones count as long. */
        const val LONG = 0.6

        /** How many prompt tokens engines usually prefill between two tokens of running streams. */
        const val CHUNK_TOKENS = 2_048

        /** Pauses up to this factor above the shortest count as equally short. */
        const val SIMILAR_PAUSES = 1.5
    }
}
