package hawthorncrank.routing.internal

/** The recent milliseconds for each token of an entry's streams on one engine. Older observations count less. */
internal data class TokenPace(
    private val milliseconds: Double = 0.0,
    private val tokens: Double = 0.0,
    private val at: Long = 0,
) {
    /** Null if no stream produced tokens lately. */
    fun recent(now: Long): Double? = if (tokens > 0 && now - at <= RECENT_MILLISECONDS) milliseconds / tokens else null

    fun observe(
        elapsed: Long,
        produced: Int,
        now: Long,
    ): TokenPace {
        val kept = remainingShare(now - at, HALF_LIFE_MILLISECONDS)
        return TokenPace(milliseconds * kept + elapsed, tokens * kept + produced, now)
    }

    private companion object {
        /** Several progress reports of a stream, between which chunks of prompts come and go. */
        const val HALF_LIFE_MILLISECONDS = 1_000.0

        /** A running stream reports progress several times in this time. */
        const val RECENT_MILLISECONDS = 2_000L
    }
}
