package hawthorncrank.scheduling

/** An action that a dispatch decided. The entry carries out the decisions in the order given. */
sealed interface DispatchDecision {
    val work: QueuedWork

    /**
     * Send the request to [upstream] with the engine priority [priority] (1 is the highest). Floor work runs at the
     * highest priority, because an engine that served it by its tier could delay it without bound.
     */
    data class Start(
        override val work: QueuedWork,
        val upstream: String,
        val capacity: CapacityKind,
        val priority: Int,
    ) : DispatchDecision

    /**
     * Cancel the request's attempt on [upstream] to make room for the request [beneficiary]. The scheduler has already
     * queued the cancelled request again.
     */
    data class Preempt(
        override val work: QueuedWork,
        val upstream: String,
        val beneficiary: Long,
    ) : DispatchDecision

    /** Tell the caller that the request is refused. The scheduler has already removed it from the queue. */
    data class Refuse(
        override val work: QueuedWork,
        val reason: RefusalReason,
        val retryAfterMilliseconds: Long,
    ) : DispatchDecision
}

/** The result of a dispatch. [steps] counts the lanes, queue heads and placements that it examined. */
data class Dispatch<Routing>(
    val scheduler: Scheduler,
    val routing: Routing,
    val decisions: List<DispatchDecision>,
    val steps: Int,
)
