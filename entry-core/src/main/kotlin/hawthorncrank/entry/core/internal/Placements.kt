package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.CancelReason
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.protocol.Upstream
import hawthorncrank.routing.PlacementConstraint
import hawthorncrank.routing.Router
import hawthorncrank.routing.routerPlacement
import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.DispatchDecision
import hawthorncrank.scheduling.OfferOutcome
import hawthorncrank.scheduling.Placement
import hawthorncrank.scheduling.PlacementAnswer
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.RefusalReason
import hawthorncrank.scheduling.WorkTarget
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Queues a request in the scheduler, and refuses the requests that the scheduler does not accept or sheds. */
internal fun Reduction.enqueue(active: ActiveRequest) {
    val waiting = active.copy(phase = RequestPhase.Queued)
    update(waiting)
    if (traceStream(waiting) || refuseWithoutVersion(waiting) || relayIfCutOff(waiting)) return
    if (state.scheduler.view.inFlightOf(active.number) != null) {
        state = state.copy(scheduler = state.scheduler.requeue(active.number, now))
        return
    }
    val outcome = state.scheduler.offer(workOf(active), now)
    state = state.copy(scheduler = outcome.scheduler)
    when (outcome) {
        is OfferOutcome.Queued -> outcome.shed.forEach { refuseWork(it.work, it.reason, it.retryAfterMilliseconds) }
        is OfferOutcome.Refused -> refuse(waiting, refusalFor(outcome.reason, outcome.retryAfterMilliseconds))
    }
}

/** Starts the queued requests for which the scheduler and the router find an upstream. */
internal fun Reduction.startQueuedRequests() {
    if (awaitsMembership() || state.scheduler.view.queuedRequests == 0) return
    val contents =
        state.attempts.running.values
            .map { PlacedContent(it.contentDigest, it.upstream) }
    val routing = DispatchRouting(state.router, contents.toPersistentList())
    val result = state.scheduler.dispatch(now, routing, placement())
    state = state.copy(scheduler = result.scheduler, router = result.routing.router)
    result.decisions.forEach(::applyDecision)
}

/** The routing state during one dispatch. [running] includes new placements, so two suspects never share an engine. */
internal data class DispatchRouting(
    val router: Router,
    val running: PersistentList<PlacedContent>,
)

private fun Reduction.placement(): Placement<DispatchRouting> =
    Placement(
        place = { routing, question ->
            val digest = contentOf(question.work)
            val inner = routerPlacement(now) { work -> constraint(work, digest, routing.running) }
            when (val answer = inner.place(routing.router, question)) {
                is PlacementAnswer.Placed -> {
                    val placed = routing.running.add(PlacedContent(digest, answer.upstream))
                    val next = DispatchRouting(answer.routing, placed)
                    PlacementAnswer.Placed(answer.upstream, answer.overcommitted, next)
                }

                PlacementAnswer.NoRoom -> PlacementAnswer.NoRoom

                PlacementAnswer.RequestNotPlaceable -> PlacementAnswer.RequestNotPlaceable
            }
        },
        release = { routing, requestNumber -> routing.copy(router = routing.router.attemptEnded(requestNumber)) },
    )

private fun Reduction.contentOf(work: QueuedWork): String =
    state.requests.active[work.requestNumber]
        ?.request
        ?.contentDigest
        .orEmpty()

private fun Reduction.constraint(
    work: QueuedWork,
    digest: String,
    running: List<PlacedContent>,
): PlacementConstraint {
    val active = state.requests.active[work.requestNumber] ?: return PlacementConstraint()
    val suspect = state.suspects.isSuspect(digest, now)
    val restricted = suspect || state.suspects.enginesLost(digest) > 0 || running.any { it.contentDigest == digest }
    val candidates =
        state.configuration.effective.upstreams
            .filter { serves(it, active.request.target) }
    val unsafe =
        if (restricted) {
            candidates.map { it.name }.filterNot { contentMayRunOn(digest, it, running) }.toSet()
        } else {
            emptySet()
        }
    val forbidden = unsafe + ofOtherVersion(active, candidates)
    // The upstream that failed last is used only if no other one is available.
    val failed = setOfNotNull(active.lastUpstream)
    val others = candidates.any { it.name !in forbidden + failed && mayGetWork(it) }
    return PlacementConstraint(excluded = if (others) forbidden + failed else forbidden, isolated = suspect)
}

private fun Reduction.applyDecision(decision: DispatchDecision) {
    val work = decision.work
    val active = state.requests.active[work.requestNumber]
    if (active == null) {
        state = state.copy(scheduler = state.scheduler.remove(work.requestNumber))
        return
    }
    when (decision) {
        is DispatchDecision.Refuse -> refuseWork(work, decision.reason, decision.retryAfterMilliseconds)
        is DispatchDecision.Preempt -> preempt(active, decision)
        is DispatchDecision.Start -> startPlaced(active, decision)
    }
}

private fun Reduction.preempt(
    active: ActiveRequest,
    decision: DispatchDecision.Preempt,
) {
    val running = active.phase as? RequestPhase.Running ?: return
    cancelAttempt(running.attemptNumber, CancelReason.PREEMPTED, routed = false)
    explain(active.number, "was preempted on ${decision.upstream} for request ${decision.beneficiary} of a higher tier")
    update(active.copy(phase = RequestPhase.Queued, mayHaveRun = true))
}

private fun Reduction.startPlaced(
    active: ActiveRequest,
    decision: DispatchDecision.Start,
) {
    val upstream = upstream(decision.upstream)
    if (upstream == null || !mayRun(active.request)) {
        return refuse(active, convicted(active.request))
    }
    startAttempt(active, upstream, enginePriority(active.request, decision))
}

private fun Reduction.enginePriority(
    request: CallerRequest,
    decision: DispatchDecision.Start,
): Int {
    val routeTier = request.routeTier
    if (routeTier == null || decision.capacity == CapacityKind.FLOOR) return decision.priority
    return state.configuration.enginePriorities.priorityOf(Urgency(decision.priority, routeTier))
}

private fun Reduction.refuseWork(
    work: QueuedWork,
    reason: RefusalReason,
    retryAfterMilliseconds: Long,
) {
    val active = state.requests.active[work.requestNumber] ?: return
    refuse(active, refusalFor(reason, retryAfterMilliseconds))
}

private fun refusalFor(
    reason: RefusalReason,
    retryAfterMilliseconds: Long,
): Refusal =
    when (reason) {
        is RefusalReason.Limit -> Refusal.LimitExceeded(reason.limit, retryAfterMilliseconds)
        RefusalReason.QueueFull -> Refusal.Overloaded(retryAfterMilliseconds)
        RefusalReason.TooLate -> Refusal.DeadlineExceeded(retryAfterMilliseconds)
    }

internal fun Reduction.workOf(active: ActiveRequest): QueuedWork {
    val request = active.request
    val model = request.target as? RequestTarget.Model
    return QueuedWork(
        requestNumber = request.number,
        organisation = request.organisation,
        className = request.className,
        tier = trafficClass(request)?.tier ?: LOWEST_TIER,
        target = if (model == null) WorkTarget.Service(request.target.label) else WorkTarget.Model(model.model),
        arrival = active.arrivedAt,
        finishBy = request.finishBy,
        promptTokens = model?.promptTokens ?: 0,
        maximumTokens = model?.maximumTokens,
        bodyBytes = request.bodyBytes,
        prefixBlocks = model?.prefixBlocks.orEmpty(),
        idempotent = request.isIdempotent,
        sharedTokens = model?.sharedTokens ?: 0,
    )
}

internal fun serves(
    upstream: Upstream,
    target: RequestTarget,
): Boolean =
    when (target) {
        is RequestTarget.Model -> target.model in upstream.models
        is RequestTarget.Service -> upstream.service == target.service
    }

internal fun Reduction.anyUpstreamMayGetWork(target: RequestTarget): Boolean =
    state.configuration.effective.upstreams
        .any { serves(it, target) && mayGetWork(it) }

/** The tier of a request whose class was removed from the configuration after it arrived. It runs after all others. */
private const val LOWEST_TIER = 5
