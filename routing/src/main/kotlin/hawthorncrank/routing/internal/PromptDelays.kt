package hawthorncrank.routing.internal

import hawthorncrank.scheduling.QueuedWork
import java.util.SplittableRandom

/**
 * Estimates how many milliseconds each engine would take to the first token of a prompt, from what this entry knows:
 * the prefill that the engine still has to do for this entry, the prefill of this prompt, and the network round trip.
 * The estimate also includes the time that this entry's running requests add, and a penalty if the engine is meant for
 * prompts of another length.
 *
 * An entry sees only its own work. So that all entries send a shared part of a prompt to the same engine without
 * communicating, every entry computes the same preferred engine for the part and assumes that this engine holds it.
 * With many callers of the same long prompt, the part is processed once, and on other engines only when the preferred
 * engine has more prefill to do than the part itself.
 *
 * The prefill of a long prompt delays the tokens of all other requests on the engine. Some engines of each zone are
 * therefore kept for short prompts, whose callers wait for the next word.
 */
internal class PromptDelays(
    private val state: RouterState,
    private val work: QueuedWork,
    private val matches: Map<String, Double>,
) {
    private val candidates = state.candidates[work.target]
    private val isLong = work.promptTokens >= LONG_PROMPT_TOKENS
    private val preferred = preferredEngine()

    fun delay(name: String): Double {
        val upstream = state.upstreams.getValue(name)
        val prefillTokens = if (holds(name)) work.promptTokens - work.sharedTokens else work.promptTokens
        return (upstream.pendingPrefillTokens + prefillTokens) / PREFILL_TOKENS_PER_MILLISECOND +
            ROUND_TRIP_MILLISECONDS[upstream.distance.ordinal] +
            upstream.ownAttempts * MILLISECONDS_PER_RUNNING_REQUEST +
            promptLengthPenalty(name)
    }

    private fun holds(name: String): Boolean {
        if (name == preferred) return true
        val parts = work.prefixBlocks.size
        return parts > 0 && (matches[name] ?: 0.0) * parts >= parts - 1 - ROUNDING_TOLERANCE
    }

    private fun preferredEngine(): String? {
        val part = work.prefixBlocks.getOrNull(maxOf(0, work.prefixBlocks.size - 2)) ?: return null
        val all = candidates?.all.orEmpty()
        val eligible = all.filter { isLong != (candidates?.isForShortPrompts(it) ?: false) }.ifEmpty { all }
        val worthLeavingZone = work.sharedTokens / PREFILL_TOKENS_PER_MILLISECOND > ROUND_TRIP_MILLISECONDS.last()
        val inZone = eligible.filter(::isInZone)
        val considered = if (worthLeavingZone || inZone.isEmpty()) eligible else inZone
        return considered.maxByOrNull { rendezvousRank(part, it) }
    }

    private fun isInZone(name: String) = state.upstreams.getValue(name).distance == Distance.ZONE

    private fun promptLengthPenalty(name: String): Double {
        val forShort = candidates?.isForShortPrompts(name) ?: return 0.0
        return when {
            isLong && forShort -> LONG_PROMPT_PENALTY_MILLISECONDS
            !isLong && !forShort -> SHORT_PROMPT_PENALTY_MILLISECONDS
            else -> 0.0
        }
    }

    companion object {
        /** The prefill speed from the engines' data sheet, rounded down. */
        const val PREFILL_TOKENS_PER_MILLISECOND = 60.0

        /**
         * An engine processes 2,048 prompt tokens in a step, and a step takes longer the more tokens precede it: after
         * this many, over 50 ms by the engines' data sheet. Two such steps come close to the shortest pause between
         * events that a route allows.
         */
        const val LONG_PROMPT_TOKENS = 12_000

        /** Round trips by the deployments' data sheet: within a zone, within a region, and to another region. */
        val ROUND_TRIP_MILLISECONDS = listOf(0.0, 2.0, 40.0)

        /** The time that one more running request adds to a usual answer, which takes a hundred steps. */
        const val MILLISECONDS_PER_RUNNING_REQUEST = 16.0

        /**
         * The pauses that long prompts cause in a short answer cost its caller more than the round trip to another
         * region.
         */
        const val SHORT_PROMPT_PENALTY_MILLISECONDS = 60.0

        /** A long prompt may wait for the prefill of another one before it goes to an engine for short prompts. */
        const val LONG_PROMPT_PENALTY_MILLISECONDS = 1_000.0

        const val ROUNDING_TOLERANCE = 0.01

        /** Rendezvous hashing: the highest rank is preferred, and an engine that leaves moves only its own parts. */
        fun rendezvousRank(
            part: Long,
            engine: String,
        ): Long = SplittableRandom(part xor (engine.hashCode().toLong() shl Int.SIZE_BITS)).nextLong()
    }
}
