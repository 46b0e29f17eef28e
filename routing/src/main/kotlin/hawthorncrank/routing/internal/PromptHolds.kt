package hawthorncrank.routing.internal

import hawthorncrank.scheduling.QueuedWork

/**
 * Tells which engines get no prompt of a request for now, so that it waits at the entry, where more urgent requests go first
 * and rule R6 refuses what can no longer end in time. An engine's batch has room for more streams than it can generate in
 * time while it prefills prompts without a pause, and then the longest answers are cut off at their deadlines.
 *
 * Prompts are held for an engine that generates too slowly for the longest likely answers of its running streams, and for
 * one that has not begun with earlier prompts of this entry. What an engine does for other entries shows in both. All
 * sizes of a class are held alike.
 */
internal class PromptHolds(
    private val state: RouterState,
    private val work: QueuedWork,
    private val now: Long,
) {
    private val load = state.loads[work.target] ?: TargetLoad()
    private val target = firstTokenTarget(work)
    private val leniency by lazy(LazyThreadSafetyMode.NONE, ::leniency)
    private val anyGenerates by lazy(LazyThreadSafetyMode.NONE, ::anyGenerates)
    private val longestWait: Map<String, Long> by lazy(LazyThreadSafetyMode.NONE, ::longestWaits)
    private val neededPace: Map<String, Double> by lazy(LazyThreadSafetyMode.NONE, ::neededPaces)

    fun isHeld(name: String): Boolean = prefillsLate(name) || generatesSlowly(name)

    /**
     * Whether a prompt of this entry that is as urgent has waited there for longer than the target of this one. While no
     * engine generates anything for this entry, a long wait does not show that engines are busy.
     */
    private fun prefillsLate(name: String): Boolean = (longestWait[name] ?: 0) > target && anyGenerates

    private fun generatesSlowly(name: String): Boolean {
        val pace = recentPace(name) ?: return false
        return pace > (neededPace[name] ?: return false) * leniency
    }

    private fun recentPace(name: String): Double? {
        val upstream = state.upstreams.getValue(name)
        return upstream.observations.pace.recent(now)
    }

    private fun anyGenerates(): Boolean =
        state.candidates[work.target]
            ?.all
            .orEmpty()
            .any { recentPace(it) != null }

    private fun longestWaits(): Map<String, Long> {
        val longest = HashMap<String, Long>()
        for (running in state.attempts.values) {
            if (running.prefilling && isAsUrgent(running)) {
                longest.merge(running.attempt.upstream, now - running.startedAt, ::maxOf)
            }
        }
        return longest
    }

    private fun isAsUrgent(running: RunningAttempt): Boolean =
        running.attempt.tier <= work.tier && firstTokenTarget(running.attempt.work) <= target

    /** The slowest pace, by engine, at which the longest likely answers of this entry's streams there still end in time. */
    private fun neededPaces(): Map<String, Double> {
        val least = (load.fastestPace.value(now) ?: return emptyMap()) * LEAST_SLOWDOWN
        val slowest = HashMap<String, Double>()
        for (running in state.attempts.values) {
            val pace = neededPace(running) ?: continue
            slowest.merge(running.attempt.upstream, maxOf(pace, least), ::minOf)
        }
        return slowest
    }

    private fun neededPace(running: RunningAttempt): Double? {
        val ofStream = running.attempt.work
        val likely = running.attempt.likelyMaximumTokens
        val finishBy = ofStream.finishBy
        if (running.prefilling || likely == null || finishBy == null) return null
        val tokens = if (running.tokens < likely) likely else LONGER_THAN_LIKELY * running.tokens
        return (finishBy - ofStream.arrival - firstTokenTarget(ofStream)).toDouble() / tokens.coerceAtLeast(1)
    }

    /** Without the prompts of less urgent classes, the engine would be faster by about their share of the prefill. */
    private fun leniency(): Double =
        1 / (1 - load.prefillShare(now) { it.firstTokenOrDefault > target }).coerceAtLeast(SMALLEST_SHARE)

    private fun firstTokenTarget(work: QueuedWork): Long =
        StreamTargets.of(state.classes[work.className]).firstTokenOrDefault

    private companion object {
        /** An engine may always spend half of its time on prompts, however long the answers are. */
        const val LEAST_SLOWDOWN = 2.0

        /** A stream that is longer than expected is expected to double in length. */
        const val LONGER_THAN_LIKELY = 2

        /** A class without recent prompts of its own is held for none of the others. */
        const val SMALLEST_SHARE = 1e-6
    }
}
