package hawthorncrank.routing.internal

/**
 * Estimates how many prompt tokens the engines of a target prefill in a millisecond. Each observation is a lower bound,
 * because the request may have waited for other work first, so the estimate rises faster than it falls. It starts low: on
 * an engine that seems slower than it is, prompts are spread more widely than needed.
 */
internal data class PrefillSpeed(
    val tokensPerMillisecond: Double = SLOW_ENGINE_TOKENS_PER_MILLISECOND,
) {
    fun observe(
        tokens: Int,
        milliseconds: Double,
    ): PrefillSpeed {
        if (tokens < LEAST_TOKENS) return this
        val observed = (tokens / milliseconds.coerceAtLeast(1.0)).coerceIn(SLOWEST, FASTEST)
        val weight = if (observed > tokensPerMillisecond) RISE else FALL
        return PrefillSpeed(tokensPerMillisecond + weight * (observed - tokensPerMillisecond))
    }

    fun millisecondsFor(tokens: Int): Double = tokens / tokensPerMillisecond

    private companion object {
        const val SLOW_ENGINE_TOKENS_PER_MILLISECOND = 20.0
        const val SLOWEST = 0.1
        const val FASTEST = 1_000.0
        const val RISE = 0.2
        const val FALL = 0.02

        /** The time to the first token of a shorter prompt says little about prefill. */
        const val LEAST_TOKENS = 500
    }
}
