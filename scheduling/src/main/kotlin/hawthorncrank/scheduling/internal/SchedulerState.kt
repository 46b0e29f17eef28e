package hawthorncrank.scheduling.internal

import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.InFlightWork
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.SchedulingPolicy
import hawthorncrank.scheduling.WorkTarget
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * The complete state of the scheduler. Its functions keep the parts consistent: a queued request is in [queued], in its
 * lane and, if it has a latest start, in [byLatestStart]; a started request is in [inFlight] and, while it may be
 * preempted, in [victims].
 */
internal data class SchedulerState(
    val policy: SchedulingPolicy,
    val organisations: PersistentMap<String, Organisation> = persistentHashMapOf(),
    val classes: PersistentMap<String, ClassState> = persistentHashMapOf(),
    val lanes: PersistentMap<WorkTarget, PersistentMap<String, Lane>> = persistentHashMapOf(),
    val queued: PersistentMap<Long, QueuedWork> = persistentHashMapOf(),
    val queuedBytes: Long = 0,
    val byLatestStart: OrderedMap<WorkKey, Long> = OrderedMap.empty(),
    val latestStarts: PersistentMap<Long, Long> = persistentHashMapOf(),
    val inFlight: PersistentMap<Long, InFlightWork> = persistentHashMapOf(),
    val victims: PersistentMap<String, OrderedMap<VictimKey, Long>> = persistentHashMapOf(),
    val limits: PersistentMap<String, OrganisationLimits> = persistentHashMapOf(),
    val estimates: LengthEstimates = LengthEstimates(),
    val speeds: SpeedEstimates = SpeedEstimates(),
) {
    fun classState(name: String): ClassState = classes[name] ?: ClassState(TrafficClass(name, LOWEST_TIER))

    fun tier(className: String): Int = classState(className).settings.tier

    fun organisation(name: String): Organisation =
        organisations[name] ?: Organisation(name, region = "", classes = emptyList(), keyHashes = emptyList())

    fun lane(
        target: WorkTarget,
        className: String,
    ): Lane = lanes[target]?.get(className) ?: Lane()

    fun standing(
        className: String,
        organisation: String,
    ): Standing {
        val account = classState(className).account(organisation)
        val position = if (policy.fairness) account.virtualTime else 0.0
        return Standing(position, account.lastStart, weight(organisation))
    }

    fun weight(organisation: String): Double = organisation(organisation).weight.coerceAtLeast(1).toDouble()

    /**
     * The latest time at which starting the request is useful (rule R6), or null without a deadline. The shortest
     * likely answer at the fastest speed seen must still fit before the deadline. In addition, a request that has
     * waited for a quarter of the time from its arrival to its deadline is refused once twice the duration that nearly
     * all answers stay below no longer fits. Otherwise, under lasting overload, requests would start just before their
     * deadlines and most of them would be cut off.
     */
    fun latestStart(work: QueuedWork): Long? {
        val finishBy = work.finishBy ?: return null
        if (!policy.refuseUseless) return null
        val fastest = duration(work, FASTEST_QUANTILE) ?: return finishBy
        val cautious = duration(work, CAUTIOUS_QUANTILE) ?: return finishBy
        val minimumWaitEnd = work.arrival + ((finishBy - work.arrival) * MINIMUM_WAIT_FRACTION).toLong()
        return minOf(finishBy - fastest, maxOf(finishBy - CAUTIOUS_DURATION_FACTOR * cautious, minimumWaitEnd))
    }

    /**
     * An output length that nearly all answers of the class or organisation stay below, or null before any has ended.
     */
    fun likelyMaximumTokens(work: QueuedWork): Int? =
        estimates.quantile(classMember(work), CAUTIOUS_QUANTILE)?.let { minOf(it, work.maximumTokens ?: it) }

    private fun duration(
        work: QueuedWork,
        quantile: Double,
    ): Long? {
        val estimated = estimates.quantile(classMember(work), quantile) ?: return null
        return (minOf(estimated, work.maximumTokens ?: estimated) * speeds.fastestInterval(work.target)).toLong()
    }

    fun enqueue(work: QueuedWork): SchedulerState {
        val latest = latestStart(work)
        val ofClass = classState(work.className)
        val known = ofClass.account(work.organisation)
        val virtualTime = if (known.queued == 0) maxOf(known.virtualTime, ofClass.virtualTime) else known.virtualTime
        val account = known.copy(virtualTime = virtualTime, queued = known.queued + 1, active = known.active + 1)
        val counted =
            ofClass
                .copy(requests = ofClass.requests + 1, bytes = ofClass.bytes + work.bodyBytes)
                .put(work.organisation, account)
        val next =
            copy(
                classes = classes.put(work.className, counted),
                queued = queued.put(work.requestNumber, work),
                queuedBytes = queuedBytes + work.bodyBytes,
                byLatestStart =
                    latest?.let { byLatestStart.put(WorkKey(it, work.requestNumber), it) } ?: byLatestStart,
                latestStarts = latest?.let { latestStarts.put(work.requestNumber, it) } ?: latestStarts,
            )
        return next.changeLane(work) { add(work, next.standing(work.className, work.organisation)) }
    }

    fun dequeue(work: QueuedWork): SchedulerState {
        val ofClass = classState(work.className)
        val account = ofClass.account(work.organisation)
        val counted =
            ofClass
                .copy(requests = ofClass.requests - 1, bytes = ofClass.bytes - work.bodyBytes)
                .put(work.organisation, account.copy(queued = account.queued - 1, active = account.active - 1))
        val latest = latestStarts[work.requestNumber]
        val next =
            copy(
                classes = classes.put(work.className, counted),
                queued = queued.remove(work.requestNumber),
                queuedBytes = queuedBytes - work.bodyBytes,
                byLatestStart = latest?.let { byLatestStart.remove(WorkKey(it, work.requestNumber)) } ?: byLatestStart,
                latestStarts = latestStarts.remove(work.requestNumber),
            )
        return next.changeLane(work) { remove(work, next.standing(work.className, work.organisation)) }
    }

    /** Adds [tokens], which may be negative, to the tokens that the organisation was served in the class. */
    fun charge(
        work: QueuedWork,
        tokens: Int,
    ): SchedulerState {
        if (tokens == 0) return this
        val ofClass = classState(work.className)
        val account = ofClass.account(work.organisation)
        val virtualTime = account.virtualTime + tokens / weight(work.organisation)
        return copy(
            classes =
                classes.put(work.className, ofClass.put(work.organisation, account.copy(virtualTime = virtualTime))),
        ).reorder(work)
    }

    /** Updates the organisation's position in every lane of the class where it has queued requests. */
    fun reorder(work: QueuedWork): SchedulerState {
        val standing = standing(work.className, work.organisation)
        var next = lanes
        for ((target, byClass) in lanes) {
            val lane = byClass[work.className] ?: continue
            if (lane.queueLengthOf(work.organisation) == 0) continue
            next = next.put(target, byClass.put(work.className, lane.reorder(work.organisation, standing)))
        }
        return copy(lanes = next)
    }

    fun changeLane(
        work: QueuedWork,
        change: Lane.() -> Lane,
    ): SchedulerState {
        val byClass = lanes[work.target] ?: persistentHashMapOf()
        val lane = (byClass[work.className] ?: Lane()).change()
        return copy(lanes = lanes.put(work.target, byClass.put(work.className, lane)))
    }

    fun addVictim(running: InFlightWork): SchedulerState {
        val mayBePreempted =
            running.work.preemptable && running.capacity == CapacityKind.SHARED && !running.answerStarted
        if (!mayBePreempted) return this
        val ofUpstream = victims[running.upstream] ?: OrderedMap.empty()
        return copy(victims = victims.put(running.upstream, ofUpstream.put(running.victimKey(), running.number)))
    }

    fun removeVictim(running: InFlightWork): SchedulerState {
        val ofUpstream = victims[running.upstream]?.remove(running.victimKey()) ?: return this
        return copy(
            victims =
                if (ofUpstream.isEmpty) victims.remove(running.upstream) else victims.put(running.upstream, ofUpstream),
        )
    }

    /** The lowest tier that this entry could preempt on the upstream. */
    fun preemptableTier(upstream: String): Int? = victims[upstream]?.first()?.key?.tier

    private fun InFlightWork.victimKey() = VictimKey(tierAtStart, startedAt, number)

    companion object {
        /** The tier of a class that is not in the configuration. */
        const val LOWEST_TIER = 99

        /**
         * Rule R6 assumes a length that nine in ten requests exceed, because refusing a request that would finish is
         * worse than keeping one that would not.
         */
        const val FASTEST_QUANTILE = 0.1
        const val CAUTIOUS_QUANTILE = 0.98
        const val CAUTIOUS_DURATION_FACTOR = 2

        /**
         * An eighth would waste less under overload but lower the attainment of tier 4 by five points when demand
         * equals capacity.
         */
        const val MINIMUM_WAIT_FRACTION = 0.25

        fun classMember(work: QueuedWork) = ClassMember(work.className, work.organisation)
    }
}

internal val InFlightWork.number: Long
    get() = work.requestNumber

/** [QueuedWork.tier] is the tier under which the work was last queued or started. */
internal val InFlightWork.tierAtStart: Int
    get() = work.tier
