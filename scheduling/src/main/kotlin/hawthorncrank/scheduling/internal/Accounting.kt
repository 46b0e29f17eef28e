package hawthorncrank.scheduling.internal

import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.InFlightWork
import hawthorncrank.scheduling.QueuedWork

/**
 * Records the start of a request. The organisation is charged the expected output length at the start, so that a burst
 * of starts does not appear to be free. At the end, [stop] corrects this charge to the number of tokens served.
 */
internal fun SchedulerState.start(
    work: QueuedWork,
    upstream: String,
    capacity: CapacityKind,
    now: Long,
): SchedulerState {
    val fromQueue = if (work.requestNumber in queued) dequeue(work) else this
    val current = work.copy(tier = tier(work.className))
    val charge = 1 + (estimates.quantile(SchedulerState.classMember(work), 0.5) ?: UNKNOWN_LENGTH_TOKENS)
    val running = InFlightWork(current, upstream, capacity, startedAt = now, charged = charge)
    val ofClass = fromQueue.classState(work.className)
    val account = ofClass.account(work.organisation)
    val counted =
        ofClass
            .copy(
                virtualTime = maxOf(ofClass.virtualTime, account.virtualTime),
                floorInUse = ofClass.floorInUse + if (capacity == CapacityKind.FLOOR) 1 else 0,
            ).put(work.organisation, account.copy(lastStart = now, active = account.active + 1))
    return fromQueue
        .copy(
            classes = fromQueue.classes.put(work.className, counted),
            inFlight = fromQueue.inFlight.put(work.requestNumber, running),
        ).addVictim(running)
        .changeLane(work) { started(now) }
        .charge(work, charge)
        .reorder(work)
}

internal fun SchedulerState.recordProgress(
    requestNumber: Long,
    tokens: Int,
    answerStarted: Boolean,
    now: Long,
): SchedulerState {
    val before = inFlight[requestNumber] ?: return this
    val produced = (tokens - before.tokens).coerceAtLeast(0)
    val beyondCharge = (tokens + 1 - before.charged).coerceAtLeast(0)
    val after =
        before.copy(
            tokens = maxOf(tokens, before.tokens),
            tokensAt = now,
            answerStarted = before.answerStarted || answerStarted,
            charged = before.charged + beyondCharge,
        )
    val next =
        copy(inFlight = inFlight.put(requestNumber, after), speeds = speeds.observe(before, tokens, now))
            .charge(before.work, beyondCharge)
            .chargeTokenLimit(before.work, produced, now)
    val producedTooMuch = after.tokens > policy.preemptableTokens
    return if (after.answerStarted || producedTooMuch) next.removeVictim(after) else next
}

/** Removes the request from those in flight and corrects its charge to [served] tokens. */
internal fun SchedulerState.stop(
    running: InFlightWork,
    served: Int,
): SchedulerState {
    val ofClass = classState(running.work.className)
    val account = ofClass.account(running.work.organisation)
    val counted =
        ofClass
            .copy(floorInUse = ofClass.floorInUse - if (running.capacity == CapacityKind.FLOOR) 1 else 0)
            .put(running.work.organisation, account.copy(active = account.active - 1))
    return removeVictim(running)
        .copy(
            inFlight = inFlight.remove(running.number),
            classes = classes.put(running.work.className, counted),
        ).charge(running.work, served - running.charged)
}

internal fun SchedulerState.chargeTokenLimit(
    work: QueuedWork,
    tokens: Int,
    now: Long,
): SchedulerState {
    val limit = limits[work.organisation]
    if (limit == null || tokens == 0) return this
    return copy(limits = limits.put(work.organisation, limit.generated(organisation(work.organisation), tokens, now)))
}

/** Stops counting a request towards its organisation's limit of requests in flight. */
internal fun SchedulerState.release(
    organisationName: String,
    now: Long?,
): SchedulerState {
    val limit = limits[organisationName]?.ended() ?: return this
    val forget = now != null && limit.isFresh(organisation(organisationName), now)
    return copy(limits = if (forget) limits.remove(organisationName) else limits.put(organisationName, limit))
}

/** The tokens charged for a start while no request of the class has completed. */
private const val UNKNOWN_LENGTH_TOKENS = 100
