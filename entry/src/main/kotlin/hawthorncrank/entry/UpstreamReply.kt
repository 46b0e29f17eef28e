package hawthorncrank.entry

/** What the status and headers of an upstream's answer mean for the attempt. */
sealed interface UpstreamReply {
    /** The upstream began to process the request. The status and body that it sends are the answer. */
    data object Accepted : UpstreamReply

    /** The upstream states that it did not begin to process the request and never will. */
    data class Rejected(
        val retryAfterMilliseconds: Long?,
    ) : UpstreamReply

    /**
     * The status would tell the caller that the request did not run, but the upstream does not state it. The request may
     * have run.
     */
    data object OutcomeUnknown : UpstreamReply

    /** Another upstream than the expected one answered at the address. It did not process the request. */
    data object Misdirected : UpstreamReply

    /** The answer does not belong to this request. */
    data object Mismatched : UpstreamReply
}
