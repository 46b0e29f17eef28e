package hawthorncrank.control.internal

import hawthorncrank.capacity.ClassDemand
import hawthorncrank.capacity.EngineOrder
import hawthorncrank.capacity.EnginePool
import hawthorncrank.capacity.ListedEngines
import hawthorncrank.capacity.ServiceDemand
import hawthorncrank.capacity.ServiceObservation
import hawthorncrank.capacity.StandingOrder
import hawthorncrank.capacity.plan
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.EngineCountStatus
import hawthorncrank.control.EngineGroup
import hawthorncrank.protocol.EngineScaling

/** Plans the numbers of engines once a second and proposes the orders. The holder of the duty sends what is committed. */
internal fun ControlStep.planEngineCounts() {
    state = state.copy(upstreamList = state.upstreamList.copy(wantedAt = now))
    if (now - (state.enginesPlannedAt ?: 0) < PLAN_INTERVAL_MILLISECONDS) return
    if (state.pending.keys.any { it.startsWith(ENGINE_ORDER_PREFIX) }) return
    val observations =
        state.control.configuration.routeServices
            .mapNotNull { service -> service.scaling?.let { observation(service.name, it) } }
    if (observations.isEmpty()) return
    val planned = plan(state.capacity, observations, now)
    state = state.copy(capacity = planned.state, enginesPlannedAt = now)
    planned.orders.forEach(::propose)
}

private fun ControlStep.propose(order: EngineOrder) {
    val group = EngineGroup(order.service, order.pool.availabilityZone, order.pool.reclaimable)
    record(
        ControlEventCode.ENGINES_ORDERED,
        "service" to order.service,
        "zone" to order.pool.availabilityZone,
        "reclaimable" to order.pool.reclaimable,
        "count" to order.count,
        "before" to
            state.control.engineCounts.orders[group]
                ?.count,
        "reason" to order.reason,
    )
    val identifier = "$ENGINE_ORDER_PREFIX${group.service}/${group.availabilityZone}/${group.reclaimable}/$now"
    proposeOwn(identifier, ControlOperation.OrderEngines(group, order.count))
}

private fun ControlStep.observation(
    service: String,
    scaling: EngineScaling,
): ServiceObservation =
    ServiceObservation(
        service,
        scaling,
        state.recentDemand(service, now),
        listedEngines(service),
        state.upstreamList.readAt?.let { now - it },
        standingOrders(service),
    )

/** Demand for engines of [service] that replicas have recorded in the last seconds, or null if there is none. */
internal fun ProcessState.recentDemand(
    service: String,
    now: Long,
): ServiceDemand? {
    val clock = clock(now)
    val recent =
        control.engineCounts.demand.values
            .filter { clock - it.clock <= RECENT_DEMAND_MILLISECONDS }
    if (recent.isEmpty()) return null
    val classes = summed(recent.flatMap { it.classes }.filter { it.service == service })
    return ServiceDemand(
        classes.map {
            ClassDemand(
                "${it.targets} tier ${it.tier}",
                it.tier,
                it.firstToken,
                it.prefillShare,
                it.runningStreams,
                it.waitingMilliseconds,
            )
        },
        recent.sumOf { it.entries },
        clock - recent.minOf { it.clock },
    )
}

private fun ControlStep.listedEngines(service: String): Map<EnginePool, ListedEngines> =
    state.upstreamList.upstreams
        .filter { it.service == service }
        .groupBy { EnginePool(it.availabilityZone, it.reclaimable) }
        .mapValues { (_, listed) ->
            val (leaving, ready) = listed.partition { it.leaving }
            ListedEngines(ready.size, leaving.size, listed.minOf { it.slots })
        }

private fun ControlStep.standingOrders(service: String): Map<EnginePool, StandingOrder> =
    state.control.engineCounts.orders
        .filterKeys { it.service == service }
        .map { (group, order) ->
            val refused = order.status == EngineCountStatus.REFUSED
            EnginePool(group.availabilityZone, group.reclaimable) to StandingOrder(order.count, order.number, refused)
        }.toMap()

internal const val ENGINE_ORDER_PREFIX = "order-engines/"
private const val PLAN_INTERVAL_MILLISECONDS = 1_000L

// A replica records once a second, and its entries may have moved to others when it stops doing so.
private const val RECENT_DEMAND_MILLISECONDS = 3_000L
