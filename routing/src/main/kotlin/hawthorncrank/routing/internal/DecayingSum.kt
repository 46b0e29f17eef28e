package hawthorncrank.routing.internal

/** A sum of observations that count half after [HALF_LIFE_MILLISECONDS], a quarter after twice that, and so on. */
internal data class DecayingSum(
    private val sum: Double = 0.0,
    private val at: Long = 0,
) {
    fun value(now: Long): Double = sum * remainingShare(now - at, HALF_LIFE_MILLISECONDS)

    fun plus(
        value: Double,
        now: Long,
    ): DecayingSum = DecayingSum(value(now) + value, now)

    private companion object {
        /** A burst of one class is seen within seconds, and single requests do not matter. */
        const val HALF_LIFE_MILLISECONDS = 8_000.0
    }
}
