package hawthorncrank.routing.internal

import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.WorkTarget
import kotlinx.collections.immutable.PersistentMap
import java.util.SplittableRandom
import kotlin.math.ln
import kotlin.math.pow

/**
 * Estimates how many milliseconds each engine would take to the first token of a prompt, from what this entry knows:
 * the prefill that the engine still has to do for this entry, the prefill of this prompt, the network round trip, and how
 * much later than that its first tokens came recently. The estimate also includes the time that this entry's running
 * requests add, and a penalty if the engine is meant for prompts of other classes. The speeds of engines and network are
 * estimated from first tokens; targets and slots are the operator's.
 *
 * An entry sees only its own work. So that all entries send a shared part of a prompt to the same engine without
 * communicating, every entry computes the same preferred engine for the part and assumes that this engine holds it.
 * With many callers of the same long prompt, the part is processed once, and on other engines only when the preferred
 * engine has more prefill to do than the part itself.
 *
 * The prefill of a long prompt delays the tokens of all other requests on the engine. Some engines of each zone are
 * therefore kept for short prompts of classes that usually have such ([PromptGroups]). Their number follows the share of
 * these classes in the load.
 *
 * Where some engines are slow ([SlowEngines]), a fast one is kept before a slow one, and the streams with the shortest pauses
 * wait for faster engines. If these are enough for more, they are kept for the shortest pauses only, and fewer shared parts prefer
 * a slow engine.
 */
internal class PromptDelays(
    private val state: RouterState,
    private val work: QueuedWork,
    private val now: Long,
    private val matches: Map<String, Double> = state.prefixMatches(work),
) {
    private val candidates = state.candidates[work.target]
    private val load = state.loads[work.target] ?: TargetLoad()
    private val streamTargets = StreamTargets.of(state.classes[work.className])
    private val slow = candidates?.slow ?: SlowEngines.NONE

    /** Whether the faster engines have room for more than the streams with the shortest pauses. */
    private val mostlyFast = slow.any && slow.count * 3 <= candidates?.all.orEmpty().size
    private val groups = load.groups(state.streamTargets, now).let { if (mostlyFast) it.onlySensitive() else it }
    private val isLong = groups.isLong(streamTargets, work.promptTokens)
    private val isKept = !isLong && streamTargets in groups.kept
    private val target = streamTargets.firstTokenOrDefault.toDouble()
    private val shortestTarget: Long =
        state.streamTargets
            .filter { it.betweenTokens != null }
            .mapNotNull { it.firstToken }
            .minOrNull() ?: StreamTargets.DEFAULT_TARGET_MILLISECONDS
    private val preferred = preferredEngine()
    private val overdue: Map<String, Double> by lazy(LazyThreadSafetyMode.NONE, ::overdueAttempts)

    fun delay(name: String): Double {
        val upstream = state.upstreams.getValue(name)
        val excess = maxOf(upstream.observations.excess.value(now), overdue[name] ?: 0.0)
        return load.speed.millisecondsFor(upstream.pendingPrefillTokens + prefillTokens(name)) * slow.slowdown(name) +
            state.networkDelays.roundTrip(upstream.distance) +
            excess * SEEN_BY_OTHERS_TOO +
            upstream.ownAttempts * millisecondsPerRunningRequest(upstream.slots) +
            classPenalty(name) +
            slowPenalty(name)
    }

    /** The tokens of the prompt that the engine probably does not hold. */
    fun prefillTokens(name: String): Int = if (holds(name)) work.promptTokens - work.sharedTokens else work.promptTokens

    /** The loads of all targets with this prompt, for which an engine has to prefill [prefillTokens]. */
    fun loadsWith(prefillTokens: Int): PersistentMap<WorkTarget, TargetLoad> {
        val slots = candidates?.all?.firstOrNull()?.let { state.upstreams.getValue(it).slots } ?: 1
        val perRequest = millisecondsPerRunningRequest(slots)
        return state.loads.put(work.target, started(prefillTokens, perRequest))
    }

    private fun started(
        prefillTokens: Int,
        millisecondsPerRequest: Double,
    ) = load.started(streamTargets, work.promptTokens, prefillTokens, groups, millisecondsPerRequest, now)

    private fun holds(name: String): Boolean {
        if (name == preferred) return true
        val parts = work.prefixBlocks.size
        return parts > 0 && (matches[name] ?: 0.0) * parts >= parts - 1 - ROUNDING_TOLERANCE
    }

    private fun preferredEngine(): String? {
        val part = work.prefixBlocks.getOrNull(maxOf(0, work.prefixBlocks.size - 2)) ?: return null
        val all = candidates?.all.orEmpty()
        val eligible = all.filter(::isFitting).ifEmpty { all }
        val farthest = state.networkDelays.roundTrip(Distance.OTHER_REGION)
        val worthLeavingZone = load.speed.millisecondsFor(work.sharedTokens) > farthest
        val inZone = eligible.filter(::isInZone)
        val considered = if (worthLeavingZone || inZone.isEmpty()) eligible else inZone
        if (mostlyFast) return considered.maxByOrNull { rendezvousScore(part, it) }
        return considered.maxByOrNull { rendezvousRank(part, it) }
    }

    /** Weighted rendezvous hashing: an engine that needs twice the time is preferred for half as many parts. */
    private fun rendezvousScore(
        part: Long,
        name: String,
    ): Double {
        val uniform =
            ((rendezvousRank(part, name) xor Long.MIN_VALUE) ushr LOW_BITS) * 2.0.pow(LOW_BITS - Long.SIZE_BITS)
        return -1 / (slow.slowdown(name) * ln(uniform.coerceIn(SMALLEST_UNIFORM, 1 - SMALLEST_UNIFORM)))
    }

    private fun isInZone(name: String) = state.upstreams.getValue(name).distance == Distance.ZONE

    private fun isForShortPrompts(name: String): Boolean =
        groups.kept.isNotEmpty() && candidates?.isForShortPrompts(name, load.shortShare) == true

    /** Whether the engine is one for this prompt. */
    private fun isFitting(name: String): Boolean =
        if (isForShortPrompts(name)) {
            if (mostlyFast) isKept else !isLong && !groups.isUsuallyLong(streamTargets)
        } else {
            !isKept
        }

    private fun classPenalty(name: String): Double =
        when {
            groups.kept.isEmpty() || isFitting(name) -> 0.0
            isLong -> target * CAUSED_PAUSES_PENALTY
            groups.isUsuallyLong(streamTargets) -> target * SHORTER_THAN_USUAL_PENALTY
            streamTargets in groups.sensitive -> target * PAUSES_PENALTY
            else -> target * FEW_PAUSES_PENALTY
        }

    /** Only the streams with the shortest pauses wait for faster engines, which would have no room for all. */
    private fun slowPenalty(name: String): Double =
        if (name in slow && streamTargets in groups.sensitive) target * SLOW_PENALTY else 0.0

    /** An engine whose slots are all in use takes about as much longer for an answer as two of the shortest targets. */
    private fun millisecondsPerRunningRequest(slots: Int): Double = 2.0 * shortestTarget / slots

    /** The longest time by which an attempt of this entry that still waits for its first token is overdue, by engine. */
    private fun overdueAttempts(): Map<String, Double> {
        val longest = HashMap<String, Double>()
        for (running in state.attempts.values) {
            if (!running.prefilling) continue
            val upstream = state.upstreams[running.attempt.upstream] ?: continue
            longest.merge(running.attempt.upstream, state.overdue(running, upstream.distance, now), ::maxOf)
        }
        return longest
    }

    companion object {
        /** The share of its target that a request accepts to avoid pauses in its own answer. */
        const val PAUSES_PENALTY = 0.5

        /** The same for a request whose callers bear longer pauses. */
        const val FEW_PAUSES_PENALTY = 0.08

        /** The share of its target that a short prompt of a class with long ones waits for other engines. */
        const val SHORTER_THAN_USUAL_PENALTY = 0.1

        /** The share of its target that a request waits for other engines before it causes pauses in others' answers. */
        const val CAUSED_PAUSES_PENALTY = 1.0

        /** Other entries see the same excess and turn to other engines as well, so a part of it counts. */
        const val SEEN_BY_OTHERS_TOO = 0.3

        /** The share of its target that a request waits for a faster engine. */
        const val SLOW_PENALTY = 1.0

        const val LOW_BITS = 11
        const val SMALLEST_UNIFORM = 1e-15
        const val ROUNDING_TOLERANCE = 0.01

        /** Rendezvous hashing: the highest rank is preferred, and an engine that leaves moves only its own parts. */
        fun rendezvousRank(
            part: Long,
            engine: String,
        ): Long = SplittableRandom(part xor (engine.hashCode().toLong() shl Int.SIZE_BITS)).nextLong()
    }
}
