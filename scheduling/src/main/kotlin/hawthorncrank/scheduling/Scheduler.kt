package hawthorncrank.scheduling

import hawthorncrank.protocol.Configuration
import hawthorncrank.scheduling.internal.tieredScheduler

/**
 * Decides which requests wait, which start, which are preempted and which are refused, by the rules R1 to R6 of the
 * design page. It is immutable: every change returns a new scheduler.
 *
 * The entry offers each request, calls [dispatch] after every event that may have freed capacity or added work, and
 * carries out the decisions in order. The scheduler tracks a request from its offer until it is refused, [finished] or
 * removed.
 */
interface Scheduler {
    /** Read access for metrics and checks. */
    val view: SchedulerView

    /** Applies a new configuration. Queued and started requests are kept and follow the new tiers and weights. */
    fun configure(configuration: Configuration): Scheduler

    /** Accepts the request into the queue or refuses it. */
    fun offer(
        work: QueuedWork,
        now: Long,
    ): OfferOutcome

    /** Removes a queued or started request whose caller left or which another part of the entry refused. */
    fun remove(requestNumber: Long): Scheduler

    /** Refuses the queued requests that can no longer finish by their deadlines. [dispatch] does this too. */
    fun expire(now: Long): Expiry

    /** Starts requests, preempting others where necessary, and refuses those that can no longer finish in time. */
    fun <Routing> dispatch(
        now: Long,
        routing: Routing,
        placement: Placement<Routing>,
    ): Dispatch<Routing>

    /**
     * Records a start that another part of the entry decided, such as the isolated retry of a request suspected of
     * crashing its engine. Removes the work from the queue.
     */
    fun started(
        work: QueuedWork,
        upstream: String,
        capacity: CapacityKind,
        now: Long,
    ): Scheduler

    /** Records the total tokens of the current attempt and whether bytes of the answer have reached the caller. */
    fun progress(
        requestNumber: Long,
        tokens: Int,
        answerStarted: Boolean,
        now: Long,
    ): Scheduler

    /**
     * Records the end of a request with [tokens] in its last attempt. Only [complete] answers are used in the length
     * estimates.
     */
    fun finished(
        requestNumber: Long,
        tokens: Int,
        complete: Boolean,
        now: Long,
    ): Scheduler

    /** Queues a request again, with its original arrival, after its attempt failed and another may follow. */
    fun requeue(
        requestNumber: Long,
        now: Long,
    ): Scheduler

    /** The predicted wait in milliseconds until a request of the class that is offered now would start. */
    fun predictedWait(
        target: WorkTarget,
        className: String,
        now: Long,
    ): Long

    /** The [quantile] (0 to 1) of the output length of requests of the class and organisation, or null if unknown. */
    fun estimatedTokens(
        className: String,
        organisation: String,
        quantile: Double,
    ): Int?

    /** The [quantile] of the tokens that a started request has still to produce, given what it has produced. */
    fun estimatedRemainingTokens(
        requestNumber: Long,
        quantile: Double,
    ): Int?
}

/** The result of [Scheduler.expire]: the new scheduler and the requests that it refused. */
data class Expiry(
    val scheduler: Scheduler,
    val refused: List<DispatchDecision.Refuse>,
)

/** Creates an empty scheduler. */
fun scheduler(
    configuration: Configuration,
    policy: SchedulingPolicy = SchedulingPolicy(),
): Scheduler = tieredScheduler(configuration, policy)
