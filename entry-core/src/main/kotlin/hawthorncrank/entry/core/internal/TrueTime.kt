package hawthorncrank.entry.core.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * An estimate of true time as an [offset] to this process's monotonic clock, made from the answers of control replicas.
 * An answer is at most half of its round trip from the truth, so the recent answer with the shortest one decides. The time
 * of day is not used: it may be set forward or back at any time.
 */
internal data class TrueTime(
    val offset: Long? = null,
    private val answers: PersistentList<TimeAnswer> = persistentListOf(),
    private val validFrom: Long = Long.MIN_VALUE,
) {
    /** Takes in that a replica estimated [trueTime] when it answered the question of the time [question]. */
    fun answered(
        question: Long,
        trueTime: Long,
        now: Long,
    ): TrueTime {
        val roundTrip = now - question
        val longest = if (offset == null) LONGEST_FIRST_MILLISECONDS else LONGEST_ROUND_TRIP_MILLISECONDS
        if (question < validFrom || roundTrip !in 0..longest) return this
        val answer = TimeAnswer(now, roundTrip, trueTime + roundTrip / 2 - now)
        val recent =
            answers.mutate { list ->
                list.removeAll { now - it.at > ANSWER_AGE_MILLISECONDS }
                list.add(answer)
            }
        return copy(
            offset = recent.minBy { it.roundTrip }.offset,
            answers = recent.takeLast(ANSWERS).toPersistentList(),
        )
    }

    /**
     * The monotonic clock may have stopped for an unknown time, so questions from before [now] say nothing any more. A time
     * of day that was set forward looks the same.
     */
    fun interrupted(now: Long) = TrueTime(validFrom = now)
}

internal data class TimeAnswer(
    val at: Long,
    val roundTrip: Long,
    val offset: Long,
)

// An answer is uncertain by half of this. Round trips between regions take 40 ms.
private const val LONGEST_ROUND_TRIP_MILLISECONDS = 150L

// A poor first estimate is better than none; the next answer with a shorter round trip replaces it.
private const val LONGEST_FIRST_MILLISECONDS = 1_000L
private const val ANSWER_AGE_MILLISECONDS = 10_000L
private const val ANSWERS = 40
