package hawthorncrank.scheduling.internal

import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.RefusalReason
import hawthorncrank.scheduling.ShedRequest
import hawthorncrank.scheduling.WorkTarget

/** The result of admission control for an offered request. */
internal sealed interface Admission {
    val state: SchedulerState

    class Accepted(
        override val state: SchedulerState,
        val shed: List<ShedRequest>,
    ) : Admission

    class Refused(
        override val state: SchedulerState,
        val reason: RefusalReason,
        val retryAfterMilliseconds: Long,
    ) : Admission
}

/** Applies the organisation's limits, rule R6 and the queue bounds, in this order. */
internal fun SchedulerState.admit(
    work: QueuedWork,
    now: Long,
): Admission {
    val organisation = organisation(work.organisation)
    val limit = limits[work.organisation] ?: OrganisationLimits.fresh(organisation, now)
    limit.exceeded(organisation, now)?.let { (reason, wait) -> return Admission.Refused(this, reason, wait) }
    if (tooLate(work, now)) return Admission.Refused(this, RefusalReason.TooLate, retryAfter(work, now))
    val room = makeRoom(work, now) ?: return Admission.Refused(this, RefusalReason.QueueFull, retryAfter(work, now))
    val accepted = room.state.copy(limits = room.state.limits.put(work.organisation, limit.accepted(organisation, now)))
    return Admission.Accepted(accepted.enqueue(work.copy(tier = tier(work.className))), room.shed)
}

internal fun SchedulerState.tooLate(
    work: QueuedWork,
    now: Long,
): Boolean = latestStart(work)?.let { now > it } ?: false

internal fun SchedulerState.predictedWait(
    target: WorkTarget,
    className: String,
    now: Long,
): Long = lane(target, className).predictedWait(now)

internal fun SchedulerState.retryAfter(
    work: QueuedWork,
    now: Long,
): Long =
    predictedWait(work.target, work.className, now)
        .coerceIn(SHORTEST_RETRY_MILLISECONDS, LONGEST_RETRY_MILLISECONDS)

/** Removes a refused request from the queue and from the count of its organisation's requests in flight. */
internal fun SchedulerState.refuse(
    work: QueuedWork,
    now: Long,
): SchedulerState = dequeue(work).release(work.organisation, now)

private class QueueRoom(
    val state: SchedulerState,
    val shed: List<ShedRequest>,
)

/**
 * Sheds queued requests by rule R3 until the new request fits, or returns null. If the class is at its own bound, the
 * new request takes the place of a lower-tier request that is queued for the same target, so the class may exceed its
 * bound by the places that it takes over. The bounds of the entry, which are the sums over all classes, still apply,
 * except to a class with fewer queued requests than floor slots. If no lower tier can be shed, requests are shed from
 * organisations with more than their share of the class's queue. If the new request would not fit even then, nothing is
 * shed.
 */
private fun SchedulerState.makeRoom(
    work: QueuedWork,
    now: Long,
): QueueRoom? {
    var state = this
    val shed = mutableListOf<ShedRequest>()
    var placeTaken = false
    while (true) {
        val own = state.classState(work.className)
        val classFull =
            !placeTaken &&
                (
                    own.requests + 1 > own.settings.queueRequests ||
                        own.bytes + work.bodyBytes > own.settings.queueSize.bytes
                )
        val totalFull = state.totalFull(work)
        if (!classFull && !totalFull) return QueueRoom(state, shed)
        if (!classFull && own.requests < own.settings.floorSlots) return QueueRoom(state, shed)
        val victim =
            state.lowerTierVictim(work, sameTarget = classFull)
                ?: state.largestQueueVictim(work)
                ?: return null
        if (victim.className != work.className) placeTaken = true
        val retryAfter = state.retryAfter(victim, now)
        state = state.refuse(victim, now)
        shed += ShedRequest(victim, RefusalReason.QueueFull, retryAfter)
    }
}

private fun SchedulerState.totalFull(work: QueuedWork): Boolean {
    val requestBound = classes.values.sumOf { it.settings.queueRequests }
    val byteBound = classes.values.sumOf { it.settings.queueSize.bytes }
    return queued.size + 1 > requestBound || queuedBytes + work.bodyBytes > byteBound
}

private fun SchedulerState.lowerTierVictim(
    work: QueuedWork,
    sameTarget: Boolean,
): QueuedWork? {
    if (!policy.shedLowestTier) return null
    val tier = tier(work.className)
    val searched = if (sameTarget) listOfNotNull(lanes[work.target]) else lanes.values
    return searched
        .flatMap { byClass -> byClass.entries.map { (name, lane) -> tier(name) to lane } }
        .filter { (laneTier, lane) -> laneTier > tier && !lane.isEmpty }
        .maxWithOrNull(compareBy({ it.first }, { it.second.requests }))
        ?.second
        ?.firstToShed()
}

private fun SchedulerState.largestQueueVictim(work: QueuedWork): QueuedWork? {
    if (!policy.fairness) return null
    val lane = lane(work.target, work.className)
    val weightedLength = (lane.queueLengthOf(work.organisation) + 1) / weight(work.organisation)
    val victim = if (lane.longestWeightedQueue() > weightedLength) lane.firstToShed() else null
    return victim?.takeIf { it.organisation != work.organisation }
}

private const val SHORTEST_RETRY_MILLISECONDS = 100L
private const val LONGEST_RETRY_MILLISECONDS = 60_000L
