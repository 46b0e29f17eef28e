package hawthorncrank.routing.internal

/** The mean of observations, of which older ones count less. */
internal data class RecentMean(
    private val sum: DecayingSum = DecayingSum(),
    private val count: DecayingSum = DecayingSum(),
) {
    /** Null without an observation in the last minutes. */
    fun value(now: Long): Double? = count.value(now).takeIf { it > LEAST_WEIGHT }?.let { sum.value(now) / it }

    fun plus(
        value: Double,
        now: Long,
    ): RecentMean = RecentMean(sum.plus(value, now), count.plus(1.0, now))

    private companion object {
        const val LEAST_WEIGHT = 1e-6
    }
}
