package hawthorncrank.routing.internal

import hawthorncrank.routing.UpstreamLoad

/**
 * What is known of one upstream, each observation with its source and its time. The [report] comes from the upstream
 * itself. [speed] is the last interval between tokens, reported or seen on this entry's streams. [excess] and [pace]
 * come from this entry's attempts only, and show what the upstream does for other entries as a delay.
 */
internal data class UpstreamObservations(
    val report: ObservedReport? = null,
    val speed: SpeedState = SpeedState(),
    val excess: ExcessDelay = ExcessDelay(),
    val pace: TokenPace = TokenPace(),
) {
    /** Takes the report of an upstream that runs [ownAttempts] of this entry, unless a newer one is known. */
    fun reported(
        load: UpstreamLoad,
        ownAttempts: Int,
        now: Long,
    ): UpstreamObservations {
        if (report != null && load.sequence <= report.sequence &&
            now - report.at < RESTART_AFTER_MILLISECONDS
        ) {
            return this
        }
        return copy(report = ObservedReport.of(load, ownAttempts, now))
    }

    /** Takes a first token that came [overdue] milliseconds later than this entry's own work explains. */
    fun firstToken(
        overdue: Double,
        now: Long,
    ): UpstreamObservations = copy(excess = excess.observe(overdue, now))

    fun interval(
        milliseconds: Double,
        now: Long,
    ): UpstreamObservations = copy(speed = speed.observe(milliseconds, now))

    fun progress(
        elapsed: Long,
        produced: Int,
        now: Long,
    ): UpstreamObservations = copy(pace = pace.observe(elapsed, produced, now))

    fun comparedWith(
        peerMedian: Double?,
        now: Long,
    ): UpstreamObservations = copy(speed = speed.evaluate(peerMedian, now))

    /** The interval between tokens that was seen last, or null if it is too old. */
    fun recentInterval(now: Long): Double? =
        if (now - speed.intervalAt <= SpeedState.STALE_MILLISECONDS) speed.interval else null

    /** The load caused by other entries according to the last report. */
    fun otherEntriesLoad(
        now: Long,
        discounting: Boolean,
    ): Double = report?.let { it.otherEntriesLoad * it.weight(now, discounting) } ?: 0.0

    /** The slots that are free by the last report, less what this entry with [ownAttempts] has started since. */
    fun free(
        ownAttempts: Int,
        now: Long,
        discounting: Boolean,
    ): Double =
        report?.let {
            (it.free - (ownAttempts - it.ownAttemptsAtReport)).coerceAtLeast(0) * it.weight(now, discounting)
        } ?: 0.0

    private companion object {
        /** After this long without a report, a lower sequence number means that the engine process restarted. */
        const val RESTART_AFTER_MILLISECONDS = 3_000L
    }
}
