package hawthorncrank.scheduling

/** The result of offering a request to the scheduler. */
sealed interface OfferOutcome {
    val scheduler: Scheduler

    /** The request was queued. The [shed] requests left the queue to make room for it; none is of a higher tier. */
    data class Queued(
        override val scheduler: Scheduler,
        val shed: List<ShedRequest>,
    ) : OfferOutcome

    /** The request was not queued and will not run. */
    data class Refused(
        override val scheduler: Scheduler,
        val reason: RefusalReason,
        val retryAfterMilliseconds: Long,
    ) : OfferOutcome
}

/** A request that left the queue to make room for another and is refused now. */
data class ShedRequest(
    val work: QueuedWork,
    val reason: RefusalReason,
    val retryAfterMilliseconds: Long,
)

/**
 * Why the scheduler refuses a request. No attempt of the request is running when it is refused, but a request that was
 * queued again may have run before.
 */
sealed interface RefusalReason {
    /** A limit of the organisation is reached; [limit] is its name in the configuration. */
    data class Limit(
        val limit: String,
    ) : RefusalReason

    /** The queue of the class or of the entry is full, and no request of a lower tier can be shed. */
    data object QueueFull : RefusalReason

    /** The request could not finish by its deadline even if it started now. */
    data object TooLate : RefusalReason
}
