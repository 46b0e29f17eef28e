package hawthorncrank.control.internal

/**
 * A content that may have crashed each of [crashes], which are spaced in time, from [since] to [latestAt], and all of
 * [occurrences]. [requests] are the whole contents of the requests that had it then. [depth] is its position in their
 * prompts, or [WHOLE_CONTENT].
 */
internal data class Suspect(
    val content: String,
    val depth: Int,
    val since: Long,
    val latestAt: Long,
    val crashes: Set<Long>,
    val requests: Set<String>,
    val occurrences: Set<Long>,
) {
    companion object {
        /** The depth of the whole content of a request, as opposed to a part of its prompt. */
        const val WHOLE_CONTENT = Int.MAX_VALUE
    }
}
