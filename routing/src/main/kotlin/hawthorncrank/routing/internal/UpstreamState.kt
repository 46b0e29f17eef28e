package hawthorncrank.routing.internal

import hawthorncrank.protocol.Upstream
import hawthorncrank.routing.RoutedAttempt
import hawthorncrank.routing.UpstreamLoad
import hawthorncrank.scheduling.CapacityKind
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/**
 * What this entry knows about one upstream. [shared] counts the entry's own attempts on shared capacity by tier, and
 * [floor] those on the floors of classes. [pendingPrefillTokens] counts the prompt tokens of its attempts that the
 * upstream has not processed yet.
 */
internal data class UpstreamState(
    val settings: Upstream,
    val distance: Distance,
    val eligible: Boolean = true,
    val shared: PersistentList<Int> = NO_ATTEMPTS,
    val floor: Int = 0,
    val suspects: Int = 0,
    val pendingPrefillTokens: Int = 0,
    val report: ObservedReport? = null,
    val speed: SpeedState = SpeedState(),
    val cache: CacheState = CacheState(settings.name),
    val excess: ExcessDelay = ExcessDelay(),
    val pace: TokenPace = TokenPace(),
) {
    val usable: Boolean
        get() = eligible && !settings.leaving

    val slots: Int
        get() = (report?.slots ?: settings.slots).coerceAtLeast(1)

    val ownAttempts: Int
        get() = shared.sum() + floor

    /** Own attempts on shared capacity of [tier] and the tiers above it (rule R2). */
    fun sharedUpTo(tier: Int): Int {
        var sum = 0
        for (index in 0..tierIndex(tier)) sum += shared[index]
        return sum
    }

    fun started(
        attempt: RoutedAttempt,
        prefillTokens: Int,
    ): UpstreamState = counted(attempt, 1).copy(pendingPrefillTokens = pendingPrefillTokens + prefillTokens)

    /** Removes the prompt of the attempt from the pending prefill. */
    fun prefillEnded(running: RunningAttempt): UpstreamState =
        copy(pendingPrefillTokens = (pendingPrefillTokens - running.prefillTokens).coerceAtLeast(0))

    fun ended(attempt: RoutedAttempt): UpstreamState = counted(attempt, -1)

    private fun counted(
        attempt: RoutedAttempt,
        change: Int,
    ): UpstreamState {
        val suspected = if (attempt.suspect) suspects + change else suspects
        if (attempt.capacity == CapacityKind.FLOOR) return copy(floor = floor + change, suspects = suspected)
        val index = tierIndex(attempt.tier)
        return copy(shared = shared.set(index, shared[index] + change), suspects = suspected)
    }

    fun observe(
        load: UpstreamLoad,
        now: Long,
    ): UpstreamState {
        if (report != null && load.sequence <= report.sequence &&
            now - report.at < RESTART_AFTER_MILLISECONDS
        ) {
            return this
        }
        val total = load.running + load.queued
        return copy(
            report =
                ObservedReport(
                    sequence = load.sequence,
                    slots = load.slots,
                    otherEntriesLoad = (total - ownAttempts).coerceAtLeast(0),
                    free = (load.slots - total).coerceAtLeast(0),
                    ownAttemptsAtReport = ownAttempts,
                    at = now,
                ),
        )
    }

    /** The load caused by other entries according to the last report. */
    fun otherEntriesLoad(
        now: Long,
        discounting: Boolean,
    ): Double = report?.let { it.otherEntriesLoad * it.weight(now, discounting) } ?: 0.0

    /** The slots that are free by the last report, less what this entry has started since. */
    fun free(
        now: Long,
        discounting: Boolean,
    ): Double =
        report?.let {
            (it.free - (ownAttempts - it.ownAttemptsAtReport)).coerceAtLeast(0) * it.weight(now, discounting)
        } ?: 0.0

    companion object {
        /** All tiers from this one down share one count; the planned deployment has five tiers. */
        private const val TIERS = 8
        private val NO_ATTEMPTS: PersistentList<Int> = List(TIERS) { 0 }.toPersistentList()

        /** After this long without a report, a lower sequence number means that the engine process restarted. */
        private const val RESTART_AFTER_MILLISECONDS = 3_000L

        private fun tierIndex(tier: Int): Int = (tier - 1).coerceIn(0, TIERS - 1)
    }
}

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

    private companion object {
        /** Reports arrive about once per second; when two are missing, the last one counts a quarter. */
        const val HALF_LIFE_MILLISECONDS = 1_000.0
    }
}

/** How far an upstream is from this entry. */
internal enum class Distance { ZONE, REGION, OTHER_REGION }
