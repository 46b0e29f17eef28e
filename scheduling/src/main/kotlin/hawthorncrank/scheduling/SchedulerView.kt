package hawthorncrank.scheduling

/** Read access to the scheduler's state, for metrics and for checks of the rules. */
interface SchedulerView {
    val queuedRequests: Int
    val queuedBytes: Long

    fun queued(): Sequence<QueuedWork>

    fun queuedOf(className: String): QueueLength

    fun inFlight(): Sequence<InFlightWork>

    fun inFlightOf(requestNumber: Long): InFlightWork?

    fun isQueued(requestNumber: Long): Boolean

    /** Number of the class's requests that run on its floor. */
    fun floorInUse(className: String): Int

    /** Tokens charged to the organisation in the class, divided by its weight; comparable within the class. */
    fun virtualTime(
        className: String,
        organisation: String,
    ): Double
}

data class QueueLength(
    val requests: Int,
    val bytes: Long,
)

/**
 * A started request. [tokens] counts those of its current attempt, as of [tokensAt]. [answerStarted] is true once bytes
 * of the answer have reached the caller. [charged] is the number of tokens charged to the organisation for the attempt.
 */
data class InFlightWork(
    val work: QueuedWork,
    val upstream: String,
    val capacity: CapacityKind,
    val startedAt: Long,
    val tokens: Int = 0,
    val tokensAt: Long = startedAt,
    val answerStarted: Boolean = false,
    val charged: Int = 0,
)
