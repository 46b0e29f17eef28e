package hawthorncrank.entry

/**
 * Reads a header Retry-After in seconds, which may have a fraction, and returns milliseconds. It is null if there is no
 * such header. Negative values, dates and other texts state no time that can be used: the clocks of two machines may
 * differ by more than the time that a date is meant to leave.
 */
fun readRetryAfter(text: String?): Long? {
    if (text == null) return null
    val milliseconds = text.trim().toDoubleOrNull()?.times(MILLISECONDS_PER_SECOND)
    if (milliseconds == null || milliseconds.isNaN() || milliseconds < 0) return UNREADABLE_RETRY_AFTER_MILLISECONDS
    return milliseconds.coerceAtMost(LONGEST_RETRY_AFTER_MILLISECONDS.toDouble()).toLong()
}

/** What a Retry-After that cannot be read counts as. */
const val UNREADABLE_RETRY_AFTER_MILLISECONDS = 1_000L

/** The longest time for which an upstream can keep work away with one answer. */
const val LONGEST_RETRY_AFTER_MILLISECONDS = 600_000L

private const val MILLISECONDS_PER_SECOND = 1_000
