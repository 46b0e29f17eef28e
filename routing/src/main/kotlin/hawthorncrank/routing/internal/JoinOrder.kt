package hawthorncrank.routing.internal

import java.util.SplittableRandom
import kotlin.math.log2

/**
 * When an entry sends its first request to an upstream that warms up. Entries do not see each other's requests, so each
 * computes its rank among all entries from both names, uniformly distributed. The number of entries that have joined doubles
 * after each step, and all have joined after a second, whatever their number.
 */
internal fun joinDelay(
    entry: String,
    upstream: String,
    entries: Int,
): Long {
    if (entries <= 1) return 0
    val seed = (entry.hashCode().toLong() shl Int.SIZE_BITS) xor upstream.hashCode().toLong()
    val rank = SplittableRandom(seed).nextDouble() * entries
    val step = minOf(LONGEST_STEP_MILLISECONDS, LONGEST_JOIN_MILLISECONDS / log2(entries.toDouble()))
    return (step * log2(maxOf(1.0, rank))).toLong()
}

/** About the time in which the first answers come back. */
private const val LONGEST_STEP_MILLISECONDS = 200.0

/** Half of the two seconds in which an upstream that is fast at once reaches its share. */
private const val LONGEST_JOIN_MILLISECONDS = 1_000.0
