package hawthorncrank.scheduling

/**
 * A request as the scheduler sees it. Times are milliseconds of the entry's clock. [finishBy] is absent where the
 * answer is useful at any time. [prefixBlocks] are digests of the growing prompt prefix, shortest first;
 * [sharedTokens] of the prompt are in parts that other requests may share.
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
    /** Whether running it twice is harmless and it holds an engine's batch slot, so that it may be preempted. */
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
