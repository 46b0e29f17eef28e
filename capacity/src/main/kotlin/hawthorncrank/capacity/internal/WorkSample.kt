package hawthorncrank.capacity.internal

import hawthorncrank.capacity.EngineReport

/**
 * The work that an engine did between two of its reports, which took [milliseconds]: [events] of each stream, with [running]
 * streams in the mean, and the prefill of [promptTokens].
 */
internal class WorkSample(
    val milliseconds: Double,
    events: Int,
    running: Double,
    promptTokens: Int,
) {
    /** What the time is made up of: a part for each event, one for each event of each stream, and one for each token. */
    val quantities = doubleArrayOf(events.toDouble(), events * running, promptTokens.toDouble())

    companion object {
        const val PROMPT_TOKENS = 2
        const val QUANTITIES = 3

        /**
         * Null if no stream was generated all the time: the engine may have been idle in between. Prompt parts that the
         * engine holds in its cache count as prefilled, because reports do not tell them apart.
         */
        fun between(
            earlier: EngineReport,
            later: EngineReport,
        ): WorkSample? {
            val elapsed = later.at - earlier.at
            if (elapsed !in SHORTEST_MILLISECONDS..LONGEST_MILLISECONDS) return null
            var events = 0
            var promptTokens = 0
            for ((identifier, stream) in later.streams) {
                val before = earlier.streams[identifier]
                if (before != null && before.events > 0) {
                    events = maxOf(events, stream.events - before.events)
                } else {
                    promptTokens += maxOf(0, stream.tokens - (before?.tokens ?: 0))
                }
            }
            if (events < LEAST_EVENTS) return null
            val running = (earlier.running + later.running) / 2.0
            return WorkSample(elapsed.toDouble(), events, running, promptTokens)
        }

        /** Reports are as of some hundred milliseconds ago, which would distort a shorter time too much. */
        private const val SHORTEST_MILLISECONDS = 500L

        /** In a longer time, too many streams begin and end unnoticed. */
        private const val LONGEST_MILLISECONDS = 2_000L

        /** With fewer events, the rounding to whole events distorts the pace by more than a third. */
        private const val LEAST_EVENTS = 3
    }
}
