package hawthorncrank.routing.internal

/**
 * The shortest typical time between events of this entry's streams on one engine, in milliseconds. While an engine reads
 * prompts between the tokens, the times are longer and scattered; the times of tokens alone are nearly equal. So a value
 * counts once [ENOUGH_CONFIRMATIONS] reports agree with it. It doubles in [DOUBLING_MILLISECONDS], and an engine without
 * streams of this entry keeps it.
 */
internal data class EngineSpeed(
    private val milliseconds: Double = Double.MAX_VALUE,
    private val at: Long = 0,
    private val confirmations: Int = 0,
) {
    /** Null before enough reports agree. */
    val fastest: Double?
        get() = if (confirmations < ENOUGH_CONFIRMATIONS) null else milliseconds

    fun observe(
        interval: Double,
        now: Long,
    ): EngineSpeed {
        val known = milliseconds / remainingShare(now - at, DOUBLING_MILLISECONDS)
        return when {
            interval * SIMILAR < known -> EngineSpeed(interval, now, confirmations = 1)
            interval <= known * SIMILAR -> EngineSpeed(minOf(interval, known), now, confirmations + 1)
            else -> EngineSpeed(known, now, confirmations)
        }
    }

    private companion object {
        const val ENOUGH_CONFIRMATIONS = 3

        /** Times that differ by less are those of equal work with a few streams more or less. */
        const val SIMILAR = 1.15
        const val DOUBLING_MILLISECONDS = 120_000.0
    }
}
