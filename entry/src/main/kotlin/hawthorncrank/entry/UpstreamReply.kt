package hawthorncrank.entry

/** What the head of an upstream's answer means for the attempt. */
sealed interface UpstreamReply {
    /** The upstream began; status and body are the answer. */
    data object Begun : UpstreamReply

    /** The upstream states that it did not begin and never will. */
    data class NotBegun(
        val retryAfterMilliseconds: Long?,
    ) : UpstreamReply

    /** The answer belongs to another request, or to none. */
    data object Mismatched : UpstreamReply
}
