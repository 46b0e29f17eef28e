package hawthorncrank.scheduling

/** What became of a request that was offered to the scheduler. */
sealed interface OfferOutcome {
    val scheduler: Scheduler

    /** The request waits. [shed] were queued, gave up their places to it, and are refused now; none is of a higher tier. */
    data class Queued(
        override val scheduler: Scheduler,
        val shed: List<ShedRequest>,
    ) : OfferOutcome

    /** The request is not in the queue and does not run. */
    data class Refused(
        override val scheduler: Scheduler,
        val reason: RefusalReason,
        val retryAfterMilliseconds: Long,
    ) : OfferOutcome
}

/** A queued request that is refused. */
data class ShedRequest(
    val work: QueuedWork,
    val reason: RefusalReason,
    val retryAfterMilliseconds: Long,
)

/** Why the scheduler refuses a request. Nothing of it has run when it is refused. */
sealed interface RefusalReason {
    /** A limit of the organisation, named as in the configuration. */
    data class Limit(
        val limit: String,
    ) : RefusalReason

    /** The queue of the class or of the entry is full, and nothing of a lower tier can make room. */
    data object QueueFull : RefusalReason

    /** It could not finish by its deadline even if it started now. */
    data object TooLate : RefusalReason
}
