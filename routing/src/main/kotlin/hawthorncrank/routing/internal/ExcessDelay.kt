package hawthorncrank.routing.internal

/**
 * By how many milliseconds first tokens from one engine came later than this entry's own work there explains. The cause is
 * work of other entries, which this entry does not see, or a slow engine. The value is halved every second without a new
 * observation, so that an avoided engine is tried again.
 */
internal data class ExcessDelay(
    private val milliseconds: Double = 0.0,
    private val at: Long = 0,
) {
    fun value(now: Long): Double = milliseconds * remainingShare(now - at, HALF_LIFE_MILLISECONDS)

    fun observe(
        observed: Double,
        now: Long,
    ): ExcessDelay = ExcessDelay((value(now) + observed.coerceAtLeast(0.0)) / 2, now)

    private companion object {
        const val HALF_LIFE_MILLISECONDS = 1_000.0
    }
}
