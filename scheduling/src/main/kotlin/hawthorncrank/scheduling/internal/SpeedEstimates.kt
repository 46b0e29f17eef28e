package hawthorncrank.scheduling.internal

import hawthorncrank.scheduling.InFlightWork
import hawthorncrank.scheduling.WorkTarget
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** The shortest token interval seen lately for each target, for the fastest estimate of rule R6. */
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
        return SpeedEstimates(intervals.put(before.work.target, minOf(interval, known * FORGETTING)))
    }

    private companion object {
        /** Shorter observations mistake tokens that the network delivered together for a fast engine. */
        const val SHORTEST_OBSERVATION_MILLISECONDS = 200L
        const val FORGETTING = 1.001

        /** Ten times the target between tokens is a stall, not a speed; taken for one, it would refuse all that come after. */
        const val LONGEST_INTERVAL_MILLISECONDS = 490.0
    }
}
