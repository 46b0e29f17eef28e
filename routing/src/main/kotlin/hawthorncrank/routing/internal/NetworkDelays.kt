package hawthorncrank.routing.internal

/**
 * Estimates the round trip to engines at each distance, in milliseconds, from first tokens that did not wait for prefill
 * of this entry's own work. Each observation is an upper bound, so the estimate falls faster than it rises. Only the
 * difference to engines of the same zone matters.
 */
internal data class NetworkDelays(
    private val estimates: List<Double> = ASSUMED_MILLISECONDS,
) {
    fun roundTrip(distance: Distance): Double =
        (estimates[distance.ordinal] - estimates[Distance.ZONE.ordinal]).coerceAtLeast(0.0)

    fun observe(
        distance: Distance,
        milliseconds: Double,
    ): NetworkDelays {
        val known = estimates[distance.ordinal]
        val observed = milliseconds.coerceIn(0.0, LONGEST_MILLISECONDS)
        val weight = if (observed < known) FALL else RISE
        val next = known + weight * (observed - known)
        return NetworkDelays(estimates.mapIndexed { index, value -> if (index == distance.ordinal) next else value })
    }

    private companion object {
        /** Usual round trips within an availability zone, between zones of a region, and between regions. */
        val ASSUMED_MILLISECONDS = listOf(0.0, 2.0, 40.0)
        const val LONGEST_MILLISECONDS = 1_000.0
        const val FALL = 0.2
        const val RISE = 0.01
    }
}
