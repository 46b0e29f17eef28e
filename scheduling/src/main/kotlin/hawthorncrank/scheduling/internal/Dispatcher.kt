package hawthorncrank.scheduling.internal

import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.Dispatch
import hawthorncrank.scheduling.DispatchDecision
import hawthorncrank.scheduling.Placement
import hawthorncrank.scheduling.PlacementAnswer
import hawthorncrank.scheduling.PlacementQuestion
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.RefusalReason
import hawthorncrank.scheduling.Scheduler
import hawthorncrank.scheduling.WorkTarget

/**
 * Performs one dispatch: refuses requests that can no longer finish in time, starts requests on the floors of their
 * classes, then starts requests by rule R1 until no lane has room. A lane without room is not tried again, so the cost
 * depends on the number of lanes and starts and not on the length of the queues.
 */
internal class Dispatcher<Routing>(
    private var state: SchedulerState,
    private var routing: Routing,
    private val placement: Placement<Routing>,
    private val now: Long,
) {
    private val decisions = mutableListOf<DispatchDecision>()
    private val skipped = mutableSetOf<Long>()
    private val blocked = mutableSetOf<Pair<WorkTarget, String>>()
    private var steps = 0

    fun run(toScheduler: (SchedulerState) -> Scheduler): Dispatch<Routing> {
        expire()
        if (state.policy.floor) fillFloors()
        for ((target, byClass) in state.lanes) {
            steps++
            if (byClass.values.any { !it.isEmpty }) startShared(target)
        }
        return Dispatch(toScheduler(state), routing, decisions, steps)
    }

    private fun expire() {
        val (next, refused) = state.expireUseless(now)
        state = next
        decisions += refused
        steps += refused.size
    }

    private fun fillFloors() {
        val inOrder =
            state.classes.values
                .filter { it.requests > 0 && it.floorFree }
                .sortedBy { it.settings.tier }
        for (ofClass in inOrder) {
            val name = ofClass.settings.name
            while (state.classState(name).floorFree && startOnFloor(name)) steps++
        }
    }

    /**
     * Starts the oldest request of the class's longest-waiting organisation. Targets without room are skipped. Returns
     * whether a request was started, refused or skipped.
     */
    private fun startOnFloor(className: String): Boolean {
        val heads =
            state.lanes.values
                .mapNotNull { it[className]?.let(::floorCandidate) }
                .sortedBy { it.first }
        for ((_, work) in heads) {
            steps++
            if (refuseIfTooLate(work)) return true
            when (val answer = tryPlacement(work, CapacityKind.FLOOR)) {
                is PlacementAnswer.Placed -> {
                    start(work, answer, CapacityKind.FLOOR)
                    return true
                }
                PlacementAnswer.RequestNotPlaceable -> {
                    skipped += work.requestNumber
                    return true
                }
                PlacementAnswer.NoRoom -> Unit
            }
        }
        return false
    }

    private fun floorCandidate(lane: Lane): Pair<Long, QueuedWork>? =
        lane.byWait().take(CANDIDATES).firstOrNull { it.second.requestNumber !in skipped }

    private fun startShared(target: WorkTarget) {
        while (true) {
            val className = nextLane(target) ?: return
            val work = nextCandidate(target, className)
            if (work == null) {
                blocked += target to className
                continue
            }
            if (refuseIfTooLate(work)) continue
            when (val answer = tryPlacement(work, CapacityKind.SHARED)) {
                is PlacementAnswer.Placed -> start(work, answer, CapacityKind.SHARED)
                PlacementAnswer.NoRoom -> blocked += target to className
                PlacementAnswer.RequestNotPlaceable -> skipped += work.requestNumber
            }
        }
    }

    private fun nextLane(target: WorkTarget): String? {
        var best: String? = null
        var bestRank: LaneRank? = null
        for ((className, lane) in state.lanes[target].orEmpty()) {
            steps++
            if (lane.isEmpty || (target to className) in blocked) continue
            val rank = rank(className, lane.next()!!)
            if (bestRank == null || rank < bestRank) {
                best = className
                bestRank = rank
            }
        }
        return best
    }

    private fun rank(
        className: String,
        next: QueuedWork,
    ): LaneRank {
        if (!state.policy.tierOrder) return LaneRank(0, next.arrival, className)
        val ofClass = state.classState(className)
        return LaneRank(ofClass.settings.tier, next.arrival + ofClass.dueAfter, className)
    }

    private fun nextCandidate(
        target: WorkTarget,
        className: String,
    ): QueuedWork? {
        val lane = state.lane(target, className)
        if (skipped.isEmpty()) return lane.next()
        return lane
            .candidates(CANDIDATES_PER_ORGANISATION)
            .take(CANDIDATES)
            .onEach { steps++ }
            .firstOrNull { it.requestNumber !in skipped }
    }

    private fun refuseIfTooLate(work: QueuedWork): Boolean {
        if (!state.tooLate(work, now)) return false
        decisions += DispatchDecision.Refuse(work, RefusalReason.TooLate, state.retryAfter(work, now))
        state = state.refuse(work, now)
        return true
    }

    private fun tryPlacement(
        work: QueuedWork,
        capacity: CapacityKind,
    ): PlacementAnswer<Routing> {
        steps++
        val preemptable: (String) -> Int? = if (state.policy.preemption) state::preemptableTier else { _ -> null }
        val tier = state.tier(work.className)
        return placement.place(
            routing,
            PlacementQuestion(work, tier, capacity, preemptable, state.likelyMaximumTokens(work)),
        )
    }

    private fun start(
        work: QueuedWork,
        placed: PlacementAnswer.Placed<Routing>,
        capacity: CapacityKind,
    ) {
        routing = placed.routing
        if (placed.overcommitted && capacity == CapacityKind.SHARED) preemptFor(work, placed.upstream)
        state = state.start(work, placed.upstream, capacity, now)
        val priority = if (capacity == CapacityKind.FLOOR) HIGHEST_PRIORITY else state.tier(work.className)
        decisions += DispatchDecision.Start(work, placed.upstream, capacity, priority)
    }

    private fun preemptFor(
        beneficiary: QueuedWork,
        upstream: String,
    ) {
        if (!state.policy.preemption) return
        val victim = state.victims[upstream]?.first() ?: return
        if (victim.key.tier <= state.tier(beneficiary.className)) return
        val running = state.inFlight.getValue(victim.value)
        state = state.stop(running, served = 0).enqueue(running.work)
        routing = placement.release(routing, running.number)
        decisions += DispatchDecision.Preempt(running.work, upstream, beneficiary.requestNumber)
    }

    private companion object {
        const val HIGHEST_PRIORITY = 1

        /** How many requests of a lane are examined if some cannot be placed because of their own constraints. */
        const val CANDIDATES = 16
        const val CANDIDATES_PER_ORGANISATION = 4
    }
}

/** Refuses every queued request whose latest useful start has passed. */
internal fun SchedulerState.expireUseless(now: Long): Pair<SchedulerState, List<DispatchDecision.Refuse>> {
    var state = this
    val refused = mutableListOf<DispatchDecision.Refuse>()
    while (true) {
        val first = state.byLatestStart.first()
        if (first == null || first.value >= now) return state to refused
        val work = state.queued.getValue(first.key.requestNumber)
        refused += DispatchDecision.Refuse(work, RefusalReason.TooLate, state.retryAfter(work, now))
        state = state.refuse(work, now)
    }
}

private data class LaneRank(
    val tier: Int,
    val due: Long,
    val className: String,
) : Comparable<LaneRank> {
    override fun compareTo(other: LaneRank): Int =
        when {
            tier != other.tier -> tier.compareTo(other.tier)
            due != other.due -> due.compareTo(other.due)
            else -> className.compareTo(other.className)
        }
}
