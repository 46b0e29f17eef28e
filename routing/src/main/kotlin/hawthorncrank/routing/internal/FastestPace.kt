package hawthorncrank.routing.internal

/**
 * The fewest milliseconds for a token that were seen on the engines of a target. The value doubles after
 * [DOUBLING_MILLISECONDS], so that engines which became slower are not measured by what they did long ago.
 */
internal data class FastestPace(
    private val milliseconds: Double? = null,
    private val at: Long = 0,
) {
    fun value(now: Long): Double? = milliseconds?.div(remainingShare(now - at, DOUBLING_MILLISECONDS))

    fun observe(
        pace: Double,
        now: Long,
    ): FastestPace {
        val known = value(now)
        return if (known != null && known < pace) this else FastestPace(pace, now)
    }

    private companion object {
        const val DOUBLING_MILLISECONDS = 120_000.0
    }
}
