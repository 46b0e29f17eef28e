package hawthorncrank.control.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * A replica's estimate of true time, as an [offset] to its clock. The clock includes suspensions of the machine, but a time
 * of day that is set forward looks the same and makes it leap.
 *
 * The estimate begins with the median of the times of day of this machine and of the linked entries, or of the entries'
 * own estimates if they have some. After that it follows the median only slowly, so that times of day that are set wrongly
 * for a while move it little even if most of these machines are affected.
 *
 * [lastTick] and a late next tick show a leap or a pause. How much of it was real then follows from the monotonic clocks of
 * the entries, which neither stop for this machine nor follow any time of day: [lagsBefore] are this clock's differences to
 * them until [pausedAt]. Meanwhile there is no estimate, because messages that waited for this process carry old times.
 */
internal data class UsageClock(
    val offset: Long? = null,
    private val heard: PersistentMap<Long, HeardClock> = persistentMapOf(),
    private val heardSince: Long? = null,
    private val lastTick: Long? = null,
    private val pausedAt: Long? = null,
    private val lagsBefore: Map<Long, Long> = emptyMap(),
    private val adjustedAt: Long = 0,
) {
    fun trueTime(now: Long): Long? = if (pausedAt == null && !lateTick(now)) offset?.let { now + it } else null

    /** Events that arrived during a pause may be handled before the tick that shows it. */
    private fun lateTick(now: Long) = lastTick != null && now - lastTick >= PAUSE_MILLISECONDS

    /** Takes in the clocks of the entry on [link]: its monotonic time, its time of day and its own estimate. */
    fun hear(
        link: Long,
        monotonic: Long,
        wallTime: Long?,
        trueTime: Long?,
        now: Long,
    ): UsageClock {
        if (lateTick(now)) return this
        val lag = now - monotonic
        val shortest = heard[link]?.takeIf { pausedAt != null }?.let { minOf(it.lag, lag) } ?: lag
        val clock = HeardClock(now, shortest, wallTime?.let { it - now }, trueTime?.let { it - now })
        return copy(heard = heard.put(link, clock), heardSince = heardSince ?: now)
    }

    fun closed(link: Long) = copy(heard = heard.remove(link), lagsBefore = lagsBefore - link)

    fun tick(
        now: Long,
        ownWallOffset: Long,
    ): UsageClock {
        val next = (if (lateTick(now)) paused(now) else this).copy(lastTick = now)
        val settles = next.pausedAt != null && now - next.pausedAt >= SETTLING_MILLISECONDS
        return when {
            settles -> next.settled()
            next.pausedAt != null -> next
            next.offset == null -> next.begun(now, ownWallOffset)
            else -> next.adjusted(now, ownWallOffset)
        }
    }

    private fun paused(now: Long) =
        copy(
            heard = heard.clear(),
            pausedAt = now,
            lagsBefore = if (pausedAt == null) heard.mapValues { it.value.lag } else lagsBefore,
        )

    /** The part of the leap by which this clock moved away from those of the entries was no time that passed. */
    private fun settled(): UsageClock {
        val leaps = heard.mapNotNull { (link, clock) -> lagsBefore[link]?.let { clock.lag - it } }
        val ended = copy(pausedAt = null, lagsBefore = emptyMap())
        if (leaps.isEmpty()) return ended.copy(offset = null, heardSince = heard.values.minOfOrNull { it.at })
        val leap = median(leaps)
        return if (Math.abs(leap) < SMALLEST_LEAP_MILLISECONDS) ended else ended.copy(offset = offset?.minus(leap))
    }

    private fun begun(
        now: Long,
        ownWallOffset: Long,
    ): UsageClock {
        if (heardSince == null || now - heardSince < SETTLING_MILLISECONDS) return this
        val recent = recent(now)
        val estimates = recent.mapNotNull { it.estimateOffset }
        val walls = recent.mapNotNull { it.wallOffset }
        if (recent.isEmpty()) return copy(heardSince = null)
        return copy(offset = median(estimates.ifEmpty { walls + ownWallOffset }), adjustedAt = now)
    }

    private fun adjusted(
        now: Long,
        ownWallOffset: Long,
    ): UsageClock {
        val elapsed = now - adjustedAt
        if (elapsed < ADJUSTMENT_INTERVAL_MILLISECONDS) return this
        val walls = recent(now).mapNotNull { it.wallOffset }
        if (walls.isEmpty() || offset == null) return copy(adjustedAt = now)
        val limit = elapsed * ADJUSTMENT_PER_SECOND / MILLISECONDS_PER_SECOND
        val change = (median(walls + ownWallOffset) - offset).coerceIn(-limit, limit)
        return copy(offset = offset + change, adjustedAt = now)
    }

    private fun recent(now: Long) = heard.values.filter { now - it.at <= HEARD_MILLISECONDS }
}

/** What an entry last said of its clocks, as offsets to the replica's clock at [at]. */
internal data class HeardClock(
    val at: Long,
    val lag: Long,
    val wallOffset: Long?,
    val estimateOffset: Long?,
)

private fun median(values: List<Long>): Long = values.sorted()[values.size / 2]

// Ticks come every 100 ms.
private const val PAUSE_MILLISECONDS = 500L

// Entries send once a second, so by then one message of each has not waited for this process.
private const val SETTLING_MILLISECONDS = 1_500L

// Less is the difference between the delays of two messages.
private const val SMALLEST_LEAP_MILLISECONDS = 50L
private const val HEARD_MILLISECONDS = 5_000L
private const val ADJUSTMENT_INTERVAL_MILLISECONDS = 1_000L

// Clocks drift by less than 0.1 ms per second. Times of day that are wrong for 20 s on most machines move it by 40 ms.
private const val ADJUSTMENT_PER_SECOND = 2L
private const val MILLISECONDS_PER_SECOND = 1_000L
