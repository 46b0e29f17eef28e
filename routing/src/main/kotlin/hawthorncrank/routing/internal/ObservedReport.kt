package hawthorncrank.routing.internal

import hawthorncrank.routing.UpstreamLoad

/** The values of a load report that decisions use, with the entry's own attempts and the time at its arrival. */
internal data class ObservedReport(
    val sequence: Long,
    val slots: Int,
    val otherEntriesLoad: Int,
    val free: Int,
    val ownAttemptsAtReport: Int,
    val at: Long,
) {
    fun weight(
        now: Long,
        discounting: Boolean,
    ): Double = if (discounting) remainingShare(now - at, HALF_LIFE_MILLISECONDS) else 1.0

    companion object {
        /** Reports arrive about once per second; when two are missing, the last one counts a quarter. */
        private const val HALF_LIFE_MILLISECONDS = 1_000.0

        fun of(
            load: UpstreamLoad,
            ownAttempts: Int,
            now: Long,
        ): ObservedReport {
            val total = load.running + load.queued
            return ObservedReport(
                sequence = load.sequence,
                slots = load.slots,
                otherEntriesLoad = (total - ownAttempts).coerceAtLeast(0),
                free = (load.slots - total).coerceAtLeast(0),
                ownAttemptsAtReport = ownAttempts,
                at = now,
            )
        }
    }
}
