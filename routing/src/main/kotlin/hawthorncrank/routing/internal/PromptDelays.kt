package hawthorncrank.routing.internal

import hawthorncrank.scheduling.QueuedWork
import java.util.SplittableRandom

/**
 * How long each engine would take to the first token of a prompt, in milliseconds, as far as this entry can tell: what the
 * engine still has to read for this entry, what it must read of this prompt, and the way there.
 *
 * An entry sees only its own work. So that all entries send a shared part to the same engine without telling each other,
 * each part has a home that every entry computes alike and that is taken to hold the part. This answers many callers with
 * the same long prompt: the part is read once, and elsewhere only when its home has more to read than the part itself.
 *
 * An engine that reads a long prompt delays the tokens of everything that it generates meanwhile. Some engines of each
 * zone are therefore kept for short prompts, whose callers wait for the next word.
 */
internal class PromptDelays(
    private val state: RouterState,
    private val work: QueuedWork,
    private val matches: Map<String, Double>,
) {
    private val candidates = state.candidates[work.target]
    private val isLong = work.promptTokens >= LONG_PROMPT_TOKENS
    private val home = home()

    fun delay(name: String): Double {
        val upstream = state.upstreams.getValue(name)
        val toRead = if (holds(name)) work.promptTokens - work.sharedTokens else work.promptTokens
        return (upstream.pendingPrompt + toRead) / TOKENS_READ_PER_MILLISECOND +
            WAY_MILLISECONDS[upstream.distance.ordinal] +
            upstream.own * MILLISECONDS_PER_RUNNING_REQUEST +
            misplaced(name)
    }

    private fun holds(name: String): Boolean {
        if (name == home) return true
        val parts = work.prefixBlocks.size
        return parts > 0 && (matches[name] ?: 0.0) * parts >= parts - 1 - ROUNDING
    }

    private fun home(): String? {
        val part = work.prefixBlocks.getOrNull(maxOf(0, work.prefixBlocks.size - 2)) ?: return null
        val all = candidates?.all.orEmpty()
        val eligible = all.filter { isLong != (candidates?.isForShortPrompts(it) ?: false) }.ifEmpty { all }
        val worthTheWay = work.sharedTokens / TOKENS_READ_PER_MILLISECOND > WAY_MILLISECONDS.last()
        val near = eligible.filter(::isInZone)
        val reach = if (worthTheWay || near.isEmpty()) eligible else near
        return reach.maxByOrNull { homeRank(part, it) }
    }

    private fun isInZone(name: String) = state.upstreams.getValue(name).distance == Distance.ZONE

    private fun misplaced(name: String): Double {
        val forShort = candidates?.isForShortPrompts(name) ?: return 0.0
        return when {
            isLong && forShort -> LONG_AMONG_SHORT_MILLISECONDS
            !isLong && !forShort -> SHORT_AMONG_LONG_MILLISECONDS
            else -> 0.0
        }
    }

    companion object {
        /** The reading speed that the engines' sheet states, rounded down. */
        const val TOKENS_READ_PER_MILLISECOND = 60.0

        /**
         * An engine reads 2,048 tokens in a step, and each step takes longer the more came before: by the engines' sheet over
         * 50 ms behind this many. Two such steps come close to the shortest pause between events that a route allows.
         */
        const val LONG_PROMPT_TOKENS = 12_000

        /** There and back by the deployments' sheet: within a zone, within a region, and to another region. */
        val WAY_MILLISECONDS = listOf(0.0, 2.0, 40.0)

        /** What one more request adds to a step, over the hundred steps of a usual answer. */
        const val MILLISECONDS_PER_RUNNING_REQUEST = 16.0

        /** Pauses of a short answer beside a long prompt cost its caller more than the way to another region. */
        const val SHORT_AMONG_LONG_MILLISECONDS = 60.0

        /** A long prompt may wait for one more to be read before it disturbs the short ones. */
        const val LONG_AMONG_SHORT_MILLISECONDS = 1_000.0

        const val ROUNDING = 0.01

        /** Rendezvous hashing: the highest rank is the home, and an engine that leaves moves only its own parts. */
        fun homeRank(
            part: Long,
            engine: String,
        ): Long = SplittableRandom(part xor (engine.hashCode().toLong() shl Int.SIZE_BITS)).nextLong()
    }
}
