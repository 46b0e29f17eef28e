package hawthorncrank.scheduling

import hawthorncrank.protocol.Configuration
import hawthorncrank.scheduling.internal.tieredScheduler

/**
 * Decides which requests wait, which start, which are preempted and which are refused, by the rules R1 to R6 of the
 * design page. It is immutable: every change returns the next scheduler.
 *
 * The entry offers each request, calls [dispatch] after every event that may have freed capacity or added work, and
 * carries out the decisions in order. A request is known from its offer until [finished] or [remove].
 */
interface Scheduler {
    /** Read access for metrics and checks. */
    val view: SchedulerView

    /** Takes over a new configuration. Queued and started requests stay, under the new tiers and weights. */
    fun configure(configuration: Configuration): Scheduler

    /** Accepts the request into the queue or refuses it. */
    fun offer(
        work: QueuedWork,
        now: Long,
    ): OfferOutcome

    /** Forgets a queued or started request, because its caller left or another part of the entry refused it. */
    fun remove(requestNumber: Long): Scheduler

    /** Takes out the requests that can no longer be useful. [dispatch] does this too. */
    fun expire(now: Long): Expiry

    /** Starts what can start, with the preemptions that this needs, and refuses what became useless. */
    fun <Routing> dispatch(
        now: Long,
        routing: Routing,
        placement: Placement<Routing>,
    ): Dispatch<Routing>

    /** Records a start that was decided elsewhere, such as the isolated retry of a suspect. The work leaves the queue. */
    fun started(
        work: QueuedWork,
        upstream: String,
        capacity: CapacityKind,
        now: Long,
    ): Scheduler

    /** Records the total of tokens of the current attempt and whether bytes have reached the caller. */
    fun progress(
        requestNumber: Long,
        tokens: Int,
        answerStarted: Boolean,
        now: Long,
    ): Scheduler

    /** The request ended with [tokens] in its last attempt. Only a [complete] answer enters the length estimates. */
    fun finished(
        requestNumber: Long,
        tokens: Int,
        complete: Boolean,
        now: Long,
    ): Scheduler

    /** The current attempt failed and another may follow: the request waits again, with its original arrival. */
    fun requeue(
        requestNumber: Long,
        now: Long,
    ): Scheduler

    /** When a request of the class that is offered now would start, in milliseconds from now. */
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

/** The scheduler after an expiry, and the requests that it refused. */
data class Expiry(
    val scheduler: Scheduler,
    val refused: List<DispatchDecision.Refuse>,
)

/** Creates an empty scheduler. */
fun scheduler(
    configuration: Configuration,
    policy: SchedulingPolicy = SchedulingPolicy(),
): Scheduler = tieredScheduler(configuration, policy)
