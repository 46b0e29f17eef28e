package hawthorncrank.routing.internal

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf

/**
 * The warm-up of one upstream as this entry runs it. [bound] limits the entry's requests in progress there. Each answer that
 * comes about as fast as on warm peers raises it, so that a fast upstream reaches its share after few rounds. A slow answer
 * halves it. Below one, the entry has one request in progress and then none for a time, so that the mean is the bound. No
 * request starts before [resumesAt].
 *
 * Only observations that began after the last reduction count, because the earlier ones show the same overload again.
 */
internal data class WarmUp(
    val startedAt: Long,
    private val joinDelay: Long = 0,
    val bound: Double = 1.0,
    private val resumesAt: Long = startedAt,
    private val reducedAt: Long = startedAt,
    private val normalAnswers: Int = 0,
    private val partsRead: PersistentSet<Long> = persistentHashSetOf(),
) {
    /**
     * Whether the entry may have one more request in progress. The fewer upstreams of the target are warm, the less they can
     * carry meanwhile and the more upstreams share the first requests, so the entry's turn comes earlier by the [warmShare].
     */
    fun hasRoom(
        inProgress: Int,
        warmShare: Double,
        now: Long,
    ): Boolean =
        now >= maxOf(resumesAt, startedAt + (joinDelay * warmShare).toLong()) && inProgress + 1 <= maxOf(1.0, bound)

    /** Whether the upstream has not answered a request with this part of a prompt yet, and so has to read all of it. */
    fun isUnread(part: Long?): Boolean = part != null && part !in partsRead

    fun read(part: Long?): WarmUp =
        if (part == null || partsRead.size >= LARGEST_PARTS) this else copy(partsRead = partsRead.add(part))

    /**
     * Records an answer that began after [elapsed] milliseconds, [ratio] times as long as on warm peers. The bound rises
     * only while the requests in progress use it.
     */
    fun answered(
        elapsed: Long,
        ratio: Double,
        inProgress: Int,
        now: Long,
    ): WarmUp =
        when {
            now - elapsed < reducedAt -> this
            ratio > SLOW_RATIO -> slowed(elapsed, now)
            ratio > NORMAL_RATIO -> this
            bound < 1 -> copy(bound = minOf(1.0, bound * 2), normalAnswers = normalAnswers + 1)
            inProgress * 2 < bound -> copy(normalAnswers = normalAnswers + 1)
            else -> copy(bound = bound + rise(now), normalAnswers = normalAnswers + 1)
        }

    /** Records the pace of running streams over the last [elapsed] milliseconds. It never raises the bound. */
    fun paced(
        elapsed: Long,
        ratio: Double,
        now: Long,
    ): WarmUp = if (now - elapsed < reducedAt || ratio <= SLOW_RATIO) this else slowed(elapsed, now)

    /** Records a request that failed after [elapsed] milliseconds. */
    fun failed(
        elapsed: Long,
        now: Long,
    ): WarmUp {
        if (now - elapsed < reducedAt) return this
        return reduced(minOf(1.0, bound) / 2, LONGEST_PAUSE_MILLISECONDS, elapsed, now)
    }

    /** Whether the bound has reached the [share], or nothing was slow for so long that little work explains the low bound. */
    fun isWarm(
        share: Double,
        now: Long,
    ): Boolean = isOver(now) || normalAnswers > 0 && bound >= share

    fun isOver(now: Long): Boolean =
        normalAnswers > 0 && now - reducedAt >= QUIET_MILLISECONDS || now - startedAt >= LONGEST_MILLISECONDS

    /** Right after a reduction the bound is probably close to what the upstream can do. */
    private fun rise(now: Long): Double =
        if (reducedAt > startedAt && now - reducedAt < CAREFUL_MILLISECONDS) CAREFUL_RISE else RISE

    private fun slowed(
        elapsed: Long,
        now: Long,
    ): WarmUp = reduced(maxOf(bound / 2, SMALLEST_BOUND_IF_SLOW), LONGEST_PAUSE_IF_SLOW_MILLISECONDS, elapsed, now)

    private fun reduced(
        wanted: Double,
        longestPause: Long,
        elapsed: Long,
        now: Long,
    ): WarmUp {
        val next = wanted.coerceAtLeast(SMALLEST_BOUND)
        val pause = elapsed.coerceAtLeast(SHORTEST_PAUSE_MILLISECONDS) * (1 / next - 1)
        val resumes = if (next < 1) now + pause.toLong().coerceAtMost(longestPause) else resumesAt
        return copy(bound = next, resumesAt = maxOf(resumesAt, resumes), reducedAt = now, normalAnswers = 0)
    }

    companion object {
        /** Times on equal servers under equal load rarely differ more than this. */
        const val NORMAL_RATIO = 2.0

        /** Warm engines have spells in which work takes 2.5 times as long, which must not reduce the bound. */
        const val SLOW_RATIO = 3.0

        /** A stream goes on after its answer began, so each answer makes room for two more to double those that wait. */
        private const val RISE = 2.0
        private const val CAREFUL_RISE = 0.5
        private const val CAREFUL_MILLISECONDS = 1_000L
        private const val SMALLEST_BOUND = 1.0 / 16

        /** A slow upstream does useful work, so that the entry looks again soon whether it has become faster. */
        private const val SMALLEST_BOUND_IF_SLOW = 1.0 / 4
        private const val SHORTEST_PAUSE_MILLISECONDS = 100L
        private const val LONGEST_PAUSE_MILLISECONDS = 5_000L
        private const val LONGEST_PAUSE_IF_SLOW_MILLISECONDS = 1_000L

        /** Also the time over which a slow spell of an engine is judged twice. */
        private const val QUIET_MILLISECONDS = 10_000L

        /** An upstream that is still slower than its peers is a slow one, which other rules handle. */
        private const val LONGEST_MILLISECONDS = 60_000L

        /** More different prompts than an entry sends to one upstream while it warms up. */
        private const val LARGEST_PARTS = 64
    }
}
