package hawthorncrank.capacity

import hawthorncrank.protocol.EngineScaling

/**
 * What is known of a service when its engines are planned. [demand] is null until it was reported, and [listAge] is the age
 * of the list that [engines] come from, null if it was never read.
 */
data class ServiceObservation(
    val service: String,
    val scaling: EngineScaling,
    val demand: ServiceDemand?,
    val engines: Map<EnginePool, ListedEngines>,
    val listAge: Long?,
    val orders: Map<EnginePool, StandingOrder>,
)

/** [ready] engines are listed for new work, though new ones may still be starting. [slots] are those of one engine. */
data class ListedEngines(
    val ready: Int,
    val leaving: Int,
    val slots: Int,
)

/** The newest order of a pool. [number] differs between orders. */
data class StandingOrder(
    val count: Int,
    val number: Long,
    val refused: Boolean,
)

/** Demand summed over [entries] reporting entries. The oldest report in it has this [age]. */
data class ServiceDemand(
    val classes: List<ClassDemand>,
    val entries: Int,
    val age: Long,
)

/**
 * Demand of one class as its callers make it, whether or not it is served. [prefillShare] is the number of engines that
 * would be busy all the time with the prompts that arrive, null if no prefill speed was estimated. [waitingMilliseconds]
 * is the engine time that prompts without an engine need.
 */
data class ClassDemand(
    val name: String,
    val tier: Int,
    val firstToken: Long?,
    val prefillShare: Double?,
    val runningStreams: Int,
    val waitingMilliseconds: Double,
)
