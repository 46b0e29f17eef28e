package hawthorncrank.routing.internal

/**
 * Compares an engine's token interval with the median of its peers. An engine that is too slow for some seconds gets a
 * tenth of its work. Afterwards its work is increased in steps, each after the same number of seconds at normal speed.
 * The intervals need no smoothing, because after a single normal interval the engine must be slow for the full time
 * again before it counts as slow.
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

    fun evaluate(
        peerMedian: Double?,
        now: Long,
    ): SpeedState {
        val own = interval
        if (own == null || peerMedian == null || now - intervalAt > STALE_MILLISECONDS) return normalSpeed(now)
        if (own <= SLOW_RATIO * peerMedian) return normalSpeed(now)
        if (slowSince == null) return copy(slowSince = now)
        if (now - slowSince < STEP_INTERVAL_MILLISECONDS) return this
        return copy(factor = STEPS.first(), steppedAt = now)
    }

    private fun normalSpeed(now: Long): SpeedState {
        val current = if (slowSince == null) this else copy(slowSince = null, steppedAt = now)
        if (factor >= 1.0 || now - current.steppedAt < STEP_INTERVAL_MILLISECONDS) return current
        return current.copy(factor = STEPS.first { it > factor }, steppedAt = now)
    }

    companion object {
        private val STEPS = listOf(0.1, 0.3, 1.0)
        private const val SLOW_RATIO = 3.0
        private const val STEP_INTERVAL_MILLISECONDS = 5_000L

        /** An older interval says nothing about the current speed of the engine. */
        const val STALE_MILLISECONDS = 10_000L
    }
}
