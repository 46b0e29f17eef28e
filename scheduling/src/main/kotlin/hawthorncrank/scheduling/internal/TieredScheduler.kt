package hawthorncrank.scheduling.internal

import hawthorncrank.protocol.Configuration
import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.Dispatch
import hawthorncrank.scheduling.Expiry
import hawthorncrank.scheduling.InFlightWork
import hawthorncrank.scheduling.OfferOutcome
import hawthorncrank.scheduling.Placement
import hawthorncrank.scheduling.QueueLength
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.Scheduler
import hawthorncrank.scheduling.SchedulerView
import hawthorncrank.scheduling.SchedulingPolicy
import hawthorncrank.scheduling.WorkTarget
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap

internal fun tieredScheduler(
    configuration: Configuration,
    policy: SchedulingPolicy,
): Scheduler = TieredScheduler(SchedulerState(policy)).configure(configuration)

/** Implements the scheduling rules R1 to R6 as operations on an immutable [SchedulerState]. */
internal class TieredScheduler(
    private val state: SchedulerState,
) : Scheduler {
    override val view: SchedulerView = StateView(state)

    override fun configure(configuration: Configuration): Scheduler = TieredScheduler(state.reconfigure(configuration))

    override fun offer(
        work: QueuedWork,
        now: Long,
    ): OfferOutcome =
        when (val admission = state.admit(work, now)) {
            is Admission.Accepted -> OfferOutcome.Queued(TieredScheduler(admission.state), admission.shed)
            is Admission.Refused -> OfferOutcome.Refused(this, admission.reason, admission.retryAfterMilliseconds)
        }

    override fun remove(requestNumber: Long): Scheduler {
        state.queued[requestNumber]?.let { work ->
            return TieredScheduler(state.dequeue(work).release(work.organisation, null))
        }
        val running = state.inFlight[requestNumber] ?: return this
        val stopped = state.stop(running, running.tokens + 1).release(running.work.organisation, null)
        return TieredScheduler(stopped.learnCutOff(running, running.tokens))
    }

    override fun expire(now: Long): Expiry {
        val (next, refused) = state.expireUseless(now)
        return Expiry(TieredScheduler(next), refused)
    }

    override fun <Routing> dispatch(
        now: Long,
        routing: Routing,
        placement: Placement<Routing>,
    ): Dispatch<Routing> = Dispatcher(state, routing, placement, now).run(::TieredScheduler)

    override fun started(
        work: QueuedWork,
        upstream: String,
        capacity: CapacityKind,
        now: Long,
    ): Scheduler = TieredScheduler(state.start(work, upstream, capacity, now))

    override fun progress(
        requestNumber: Long,
        tokens: Int,
        answerStarted: Boolean,
        now: Long,
    ): Scheduler = TieredScheduler(state.recordProgress(requestNumber, tokens, answerStarted, now))

    override fun finished(
        requestNumber: Long,
        tokens: Int,
        complete: Boolean,
        now: Long,
    ): Scheduler {
        val running = state.inFlight[requestNumber] ?: return this
        val settled =
            state
                .chargeTokenLimit(running.work, (tokens - running.tokens).coerceAtLeast(0), now)
                .stop(running, tokens + 1)
                .release(running.work.organisation, now)
        if (!complete) return TieredScheduler(settled.learnCutOff(running, tokens))
        val estimates = settled.estimates.add(SchedulerState.classMember(running.work), tokens)
        return TieredScheduler(settled.copy(estimates = estimates))
    }

    override fun requeue(
        requestNumber: Long,
        now: Long,
    ): Scheduler {
        val running = state.inFlight[requestNumber] ?: return this
        return TieredScheduler(state.stop(running, served = 0).enqueue(running.work))
    }

    override fun predictedWait(
        target: WorkTarget,
        className: String,
        now: Long,
    ): Long = state.predictedWait(target, className, now)

    override fun estimatedTokens(
        className: String,
        organisation: String,
        quantile: Double,
    ): Int? = state.estimates.quantile(ClassMember(className, organisation), quantile)

    override fun estimatedRemainingTokens(
        requestNumber: Long,
        quantile: Double,
    ): Int? =
        state.inFlight[requestNumber]?.let {
            state.estimates.remaining(SchedulerState.classMember(it.work), it.tokens, quantile)
        }
}

private fun SchedulerState.learnCutOff(
    running: InFlightWork,
    tokens: Int,
): SchedulerState = copy(estimates = estimates.addCutOff(SchedulerState.classMember(running.work), tokens))

/**
 * The state under another configuration. Requests of classes and organisations that are no longer in the configuration
 * stay queued or in flight; those of a removed class run at the lowest tier.
 */
private fun SchedulerState.reconfigure(configuration: Configuration): SchedulerState {
    val configuredClasses = configuration.classes.associateBy { it.name }
    val configuredOrganisations = configuration.organisations.associateBy { it.name }
    val classStates =
        configuredClasses.mapValues { (name, settings) ->
            classes[name]?.copy(settings = settings) ?: ClassState(settings)
        } +
            classes
                .filter { (name, state) -> name !in configuredClasses && state.accounts.isNotEmpty() }
                .mapValues { (_, state) ->
                    state.copy(settings = state.settings.copy(tier = SchedulerState.LOWEST_TIER))
                }
    val withEmptyLanes =
        copy(
            organisations = configuredOrganisations.toPersistentHashMap(),
            classes = classStates.toPersistentHashMap(),
            lanes =
                lanes
                    .mapValues { (_, byClass) ->
                        byClass.mapValues { it.value.emptied() }.toPersistentHashMap()
                    }.toPersistentHashMap(),
            estimates = estimates.keepOrganisations { it in configuredOrganisations },
        )
    val waiting = queued.values.map { it.copy(tier = withEmptyLanes.tier(it.className)) }
    return waiting.fold(
        withEmptyLanes.copy(
            queued =
                waiting
                    .associateBy {
                        it.requestNumber
                    }.toPersistentHashMap(),
        ),
    ) { state, work ->
        state.changeLane(work) { add(work, state.standing(work.className, work.organisation)) }
    }
}

private class StateView(
    private val state: SchedulerState,
) : SchedulerView {
    override val queuedRequests: Int
        get() = state.queued.size
    override val queuedBytes: Long
        get() = state.queuedBytes

    override fun queued(): Sequence<QueuedWork> = state.queued.values.asSequence()

    override fun queuedOf(className: String): QueueLength =
        state.classState(className).let { QueueLength(it.requests, it.bytes) }

    override fun inFlight(): Sequence<InFlightWork> = state.inFlight.values.asSequence()

    override fun inFlightOf(requestNumber: Long): InFlightWork? = state.inFlight[requestNumber]

    override fun isQueued(requestNumber: Long): Boolean = requestNumber in state.queued

    override fun floorInUse(className: String): Int = state.classState(className).floorInUse

    override fun virtualTime(
        className: String,
        organisation: String,
    ): Double = state.classState(className).account(organisation).virtualTime
}
