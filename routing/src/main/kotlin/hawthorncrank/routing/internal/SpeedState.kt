package hawthorncrank.routing.internal

/**
 * An engine's token interval against the median of its peers. An engine that is too slow for some seconds gets a tenth
 * of its work; once it keeps pace again it returns in steps, each after the same time. Single intervals need no
 * smoothing, because one that keeps pace starts the time anew.
 */
internal data class SpeedState(
    val interval: Double? = null,
    val intervalAt: Long = 0,
    val factor: Double = 1.0,
    private val slowSince: Long? = null,
    private val steppedAt: Long = 0,
) {
    fun observe(
        interval: Double,
        now: Long,
    ): SpeedState = copy(interval = interval, intervalAt = now)

    fun judge(
        peers: Double?,
        now: Long,
    ): SpeedState {
        val own = interval
        if (own == null || peers == null || now - intervalAt > STALE_MILLISECONDS) return keepingPace(now)
        if (own <= SLOW_RATIO * peers) return keepingPace(now)
        if (slowSince == null) return copy(slowSince = now)
        if (now - slowSince < PATIENCE_MILLISECONDS) return this
        return copy(factor = STEPS.first(), steppedAt = now)
    }

    private fun keepingPace(now: Long): SpeedState {
        val current = if (slowSince == null) this else copy(slowSince = null, steppedAt = now)
        if (factor >= 1.0 || now - current.steppedAt < PATIENCE_MILLISECONDS) return current
        return current.copy(factor = STEPS.first { it > factor }, steppedAt = now)
    }

    companion object {
        private val STEPS = listOf(0.1, 0.3, 1.0)
        private const val SLOW_RATIO = 3.0
        private const val PATIENCE_MILLISECONDS = 5_000L

        /** An interval this old says nothing about the engine now. */
        const val STALE_MILLISECONDS = 10_000L
    }
}
