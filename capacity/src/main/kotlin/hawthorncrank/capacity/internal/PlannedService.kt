package hawthorncrank.capacity.internal

import hawthorncrank.capacity.EngineOrder
import hawthorncrank.capacity.EnginePool
import hawthorncrank.capacity.OrderReason
import hawthorncrank.capacity.ServiceObservation
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlin.math.max

/** The state of one service after a planning, and its orders. */
internal class PlannedService(
    val state: ServicePlanState,
    val orders: List<EngineOrder>,
)

/** Plans the engines of one service. It grows at once, and reduces what has not been needed for some time. */
internal fun planService(
    before: ServicePlanState,
    observation: ServiceObservation,
    now: Long,
): PlannedService {
    val state = before.withOrders(observation, now).withListed(observation, now).withDemand(observation, now)
    if (state.needs.isEmpty()) return PlannedService(state, emptyList())
    return ServicePlanning(state, observation, now).plan()
}

private fun ServicePlanState.withListed(
    observation: ServiceObservation,
    now: Long,
): ServicePlanState {
    if (observation.listAge == null || observation.listAge > LONGEST_AGE_MILLISECONDS) return this
    val sample = ListedSample(now, observation.engines.mapValues { it.value.ready })
    return copy(listed = listed.since(now - observation.scaling.boot.value) { it.at }.add(sample))
}

private fun ServicePlanState.withDemand(
    observation: ServiceObservation,
    now: Long,
): ServicePlanState {
    val sample = demandSample(observation, now) ?: return this
    val kept = samples.since(now - WINDOW_MILLISECONDS) { it.at }.add(sample)
    val slots =
        observation.engines.values
            .filter { it.ready > 0 }
            .minOfOrNull { it.slots } ?: return this
    val need = TimedNeed(now, engineNeed(kept, slots, lead(observation)))
    return copy(
        firstSampleAt = firstSampleAt ?: now,
        samples = kept,
        needs = needs.since(now - WINDOW_MILLISECONDS) { it.at }.add(need),
    )
}

private fun <T> PersistentList<T>.since(
    time: Long,
    at: (T) -> Long,
): PersistentList<T> = dropWhile { at(it) < time }.toPersistentList()

private class ServicePlanning(
    private val state: ServicePlanState,
    private val observation: ServiceObservation,
    private val now: Long,
) {
    private val scaling = observation.scaling
    private val pools =
        scaling.zonePrices.keys
            .flatMap { listOf(EnginePool(it, false), EnginePool(it, true)) }
            .toSet() +
            observation.engines.keys + observation.orders.keys
    private val standing = counts(::standingCount)
    private val need =
        EngineNeed(state.needs.maxOf { it.need.total }, state.needs.maxOf { it.need.regular })

    fun plan(): PlannedService {
        val lost = pools.filter(::isBelowLostOrder)
        val lowered = lost.map { order(it, standing[it], OrderReason.LOST) }
        val optimum = cheapestEngines(need, scaling, ::limit)
        val enough = standing.suffices(need)
        val raised = raised(optimum, enough)
        val reason = if (enough) OrderReason.CHEAPER else OrderReason.DEMAND
        val growth = pools.filter { raised[it] > standing[it] }.map { order(it, raised[it], reason) }
        if (growth.isNotEmpty() || lowered.isNotEmpty()) return PlannedService(state, lowered + growth)
        val reduction = reduction()
        val next = if (reduction.isEmpty()) state else state.copy(reducedAt = now)
        return PlannedService(next, reduction)
    }

    private fun isBelowLostOrder(pool: EnginePool): Boolean {
        val known = state.pools[pool] ?: return false
        return known.isLost(now) && standing[pool] < known.count
    }

    /** What was ordered, as far as the platform is still expected to provide it. */
    private fun standingCount(pool: EnginePool): Int {
        val ready = observation.engines[pool]?.ready ?: 0
        val order = observation.orders[pool] ?: return ready
        val lost = state.pools[pool]?.isLost(now) == true
        return if (order.refused || lost) ready else order.count
    }

    private fun limit(pool: EnginePool): Int {
        val blocked = state.pools[pool]?.let { now < it.blockedUntil } == true
        return if (blocked) standing[pool] else scaling.maximum
    }

    /** Replaces sufficient engines by others only if that saves much, because new engines have empty caches. */
    private fun raised(
        optimum: EngineCounts,
        enough: Boolean,
    ): EngineCounts {
        val kept = standing.trimmed(need, scaling) { _, _ -> true }
        val savesLittle = kept.cost(scaling) <= optimum.cost(scaling) * REPLACEMENT_COST_RATIO
        if (enough && savesLittle) return filled(standing, optimum)
        val larger = filled(counts { max(standing[it], optimum[it]) }, optimum)
        return if (enough) larger else larger.trimmed(need, scaling) { pool, count -> count >= standing[pool] }
    }

    /** Limits growth so that both kinds of a zone together stay within the limits. */
    private fun filled(
        wanted: EngineCounts,
        optimum: EngineCounts,
    ): EngineCounts =
        pools.fold(wanted) { all, pool ->
            val missing = scaling.minimum - all.inZone(pool.availabilityZone)
            val excess = all.inZone(pool.availabilityZone) - scaling.maximum
            val count = all[pool]
            when {
                missing > 0 && optimum[pool] > 0 -> all.with(pool, max(count, minOf(count + missing, limit(pool))))
                excess > 0 -> all.with(pool, max(minOf(standing[pool], count), count - excess))
                else -> all
            }
        }

    private fun reduction(): List<EngineOrder> {
        if (!mayReduce()) return emptyList()
        val serving = counts(::servingCount)
        var left = max(1, standing.total / REDUCTION_DIVISOR) - observation.engines.values.sumOf { it.leaving }
        val ordered = ArrayList<EngineOrder>()
        var remaining = serving
        val target = standing.trimmed(need, scaling) { _, _ -> true }
        pools.sortedByDescending { scaling.price(it) }.forEach { pool ->
            var count = standing[pool]
            while (left > 0 && count > target[pool] && count <= serving[pool]) {
                val next = remaining.with(pool, remaining[pool] - 1)
                if (!next.suffices(need)) break
                remaining = next
                count--
                left--
            }
            if (count < standing[pool]) ordered += order(pool, count, OrderReason.SURPLUS)
        }
        return ordered
    }

    private fun mayReduce(): Boolean {
        val demand = observation.demand ?: return false
        val firstSampleAt = state.firstSampleAt ?: return false
        return demandSample(observation, now) != null &&
            observation.listAge.let { it != null && it <= LONGEST_AGE_MILLISECONDS } &&
            demand.entries >= state.samples.maxOf { it.entries } &&
            state.listed.first().at <= now - scaling.boot.value + LIST_INTERVAL_MILLISECONDS &&
            now - firstSampleAt >= FIRST_REDUCTION_MILLISECONDS &&
            state.samples.size >= LEAST_SAMPLES &&
            (state.reducedAt == null || now - state.reducedAt >= REDUCTION_INTERVAL_MILLISECONDS)
    }

    /** Engines that were listed all the time that a boot takes. */
    private fun servingCount(pool: EnginePool): Int = state.listed.minOfOrNull { it.ready[pool] ?: 0 } ?: 0

    private fun counts(count: (EnginePool) -> Int) = EngineCounts(pools.associateWith(count))

    private fun order(
        pool: EnginePool,
        count: Int,
        reason: OrderReason,
    ) = EngineOrder(observation.service, pool, count, reason)
}

/** Engines that were needed at some time in this window are kept. */
private const val WINDOW_MILLISECONDS = 20_000L
private const val FIRST_REDUCTION_MILLISECONDS = 10_000L

/** Plans are made at about this interval, so the list is known for a whole boot if the oldest sample is that much younger. */
private const val LIST_INTERVAL_MILLISECONDS = 1_500L

/** Reports may be missing, but not most of them. */
private const val LEAST_SAMPLES = 8

/** Dismissed engines are listed as leaving by then. */
private const val REDUCTION_INTERVAL_MILLISECONDS = 3_000L

/** One engine in so many may leave at a time, because its streams must end and its cache is lost. */
private const val REDUCTION_DIVISOR = 10

/** Engines are replaced if the others cost less by this ratio. */
private const val REPLACEMENT_COST_RATIO = 1.2
