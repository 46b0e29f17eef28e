package hawthorncrank.scheduling

/**
 * A request as the scheduler sees it. Times are milliseconds of the entry's clock. [finishBy] is null if the answer is
 * useful at any time. [prefixBlocks] are digests of successively longer prefixes of the prompt, shortest first.
 * [sharedTokens] is the number of prompt tokens in parts that other requests may share.
 */
data class QueuedWork(
    val requestNumber: Long,
    val organisation: String,
    val className: String,
    val tier: Int,
    val target: WorkTarget,
    val arrival: Long,
    val finishBy: Long?,
    val promptTokens: Int,
    val maximumTokens: Int?,
    val bodyBytes: Int,
    val prefixBlocks: List<Long>,
    val idempotent: Boolean,
    val sharedTokens: Int = 0,
) {
    /** Whether the request may be preempted: running it twice is harmless, and it occupies an engine's batch slot. */
    val preemptable: Boolean
        get() = idempotent && target is WorkTarget.Model
}

/** What a request asks for: a model that engines serve, or a plain service. */
sealed interface WorkTarget {
    val name: String

    data class Model(
        override val name: String,
    ) : WorkTarget

    data class Service(
        override val name: String,
    ) : WorkTarget
}
