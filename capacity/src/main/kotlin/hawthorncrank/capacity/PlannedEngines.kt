package hawthorncrank.capacity

import hawthorncrank.capacity.internal.ServicePlanState
import hawthorncrank.capacity.internal.planService
import kotlinx.collections.immutable.toPersistentMap

/** The state after a planning and the orders that it decided on. */
class PlannedEngines(
    val state: CapacityState,
    val orders: List<EngineOrder>,
)

/** Plans the numbers of engines of all services in [observations]. It is to be called about once a second. */
fun plan(
    state: CapacityState,
    observations: List<ServiceObservation>,
    now: Long,
): PlannedEngines {
    val planned =
        observations.associate {
            it.service to
                planService(state.services[it.service] ?: ServicePlanState(), it, now)
        }
    return PlannedEngines(
        CapacityState(planned.mapValues { it.value.state }.toPersistentMap()),
        planned.values.flatMap { it.orders },
    )
}
