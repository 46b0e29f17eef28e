package hawthorncrank.capacity

import hawthorncrank.capacity.internal.ServicePlanState
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** What the plan remembers of each service. An empty state is safe: nothing is reduced until enough was seen. */
class CapacityState internal constructor(
    internal val services: PersistentMap<String, ServicePlanState>,
) {
    constructor() : this(persistentMapOf())
}
