package hawthorncrank.scheduling.internal

import hawthorncrank.scheduling.InFlightWork
import hawthorncrank.scheduling.WorkTarget
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** The shortest recent token interval of each target, from which rule R6 estimates the fastest possible answer. */
internal data class SpeedEstimates(
    private val intervals: PersistentMap<WorkTarget, Double> = persistentHashMapOf(),
) {
    fun fastestInterval(target: WorkTarget): Double = intervals[target] ?: 0.0

    fun observe(
        before: InFlightWork,
        tokens: Int,
        now: Long,
    ): SpeedEstimates {
        val elapsed = now - before.tokensAt
        val produced = tokens - before.tokens
        if (before.tokens == 0 || produced < 1 || elapsed < SHORTEST_OBSERVATION_MILLISECONDS) return this
        val interval = elapsed.toDouble() / produced
        if (interval > LONGEST_INTERVAL_MILLISECONDS) return this
        val known = intervals[before.work.target] ?: interval
        return SpeedEstimates(intervals.put(before.work.target, minOf(interval, known * INTERVAL_GROWTH_FACTOR)))
    }

    private companion object {
        /** In a shorter observation, tokens that the network delivered together would look like a fast engine. */
        const val SHORTEST_OBSERVATION_MILLISECONDS = 200L

        /** Lets the shortest interval rise a little with each observation, so that an old one stops counting. */
        const val INTERVAL_GROWTH_FACTOR = 1.001

        /**
         * Ten times the latency target between tokens is a stall and not a speed. If it were used as a speed, all later
         * requests would be refused.
         */
        const val LONGEST_INTERVAL_MILLISECONDS = 490.0
    }
}
