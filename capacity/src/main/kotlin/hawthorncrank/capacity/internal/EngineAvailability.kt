package hawthorncrank.capacity.internal

import hawthorncrank.capacity.EnginePool
import hawthorncrank.capacity.ServiceObservation
import hawthorncrank.capacity.StandingOrder
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap

/**
 * Notes which orders were refused and which engines were lost, so that no more are ordered there for some time. The platform
 * does not say that it took engines away: the list has fewer than were ordered and were there before.
 */
internal fun ServicePlanState.withOrders(
    observation: ServiceObservation,
    now: Long,
): ServicePlanState {
    val isRecent = observation.listAge != null && observation.listAge <= LONGEST_AGE_MILLISECONDS
    val updated =
        observation.orders.mapValues { (pool, order) ->
            val known = pools[pool]
            val followed = if (known?.number == order.number) known else known.replacedBy(order, now)
            val answered = if (order.refused && !followed.refused) followed.refused(now) else followed
            val ready = observation.engines[pool]?.ready ?: 0
            if (isRecent) answered.listed(pool, ready, now, lead(observation)) else answered
        }
    return copy(pools = updated.toPersistentMap(), observedDelay = observedDelay(updated, pools, now))
}

private fun PoolState?.replacedBy(
    order: StandingOrder,
    now: Long,
) = PoolState(
    order.number,
    order.count,
    now,
    blockedUntil = this?.blockedUntil ?: Long.MIN_VALUE,
    blockedFor = this?.blockedFor ?: 0,
)

private fun PoolState.refused(now: Long): PoolState = blocked(now).copy(refused = true)

private fun PoolState.blocked(now: Long): PoolState {
    val time = (2 * blockedFor).coerceIn(SHORTEST_BLOCK_MILLISECONDS, LONGEST_BLOCK_MILLISECONDS)
    return copy(blockedUntil = now + time, blockedFor = time)
}

private fun PoolState.listed(
    pool: EnginePool,
    ready: Int,
    now: Long,
    lead: Long,
): PoolState {
    if (refused) return this
    if (ready >= count) {
        val unblocked = if (count > 0 && now >= blockedUntil) 0 else blockedFor
        return copy(reached = true, missingSince = null, blockedFor = unblocked)
    }
    // An order that was accepted without effect is as good as refused after some time.
    if (!reached && now - orderedAt < 2 * lead) return this
    val since = missingSince ?: now
    // Reclaimed engines go all at once, while crashed ones are replaced.
    val patience = if (pool.reclaimable && ready == 0) 0 else lead + REPLACEMENT_MILLISECONDS
    val missing = copy(missingSince = since)
    return if (now - since >= patience && now >= blockedUntil) missing.blocked(now) else missing
}

/** A pool whose engines are fewer than ordered and that the platform does not fill up by itself. */
internal fun PoolState.isLost(now: Long): Boolean = !refused && missingSince != null && now < blockedUntil

private fun ServicePlanState.observedDelay(
    updated: Map<EnginePool, PoolState>,
    before: PersistentMap<EnginePool, PoolState>,
    now: Long,
): Long {
    val delays =
        updated.mapNotNull { (pool, state) ->
            val known = before[pool]?.takeIf { it.number == state.number && !it.reached }
            (now - state.orderedAt).takeIf { known != null && state.reached }
        }
    return delays.maxOrNull()?.let { maxOf(it, observedDelay * DELAY_KEPT_PERCENT / 100) } ?: observedDelay
}

/**
 * The time from a decision until new engines serve. Engines may be listed when they are ordered or when they serve, so
 * the observed delay may contain the boot.
 */
internal fun ServicePlanState.lead(observation: ServiceObservation): Long =
    maxOf(observation.scaling.boot.value + DECISION_MILLISECONDS, observedDelay)

/** Reports of a second, and the order's way through the group. */
private const val DECISION_MILLISECONDS = 1_500L

/** The platform replaces a crashed engine by itself, usually within this time. */
private const val REPLACEMENT_MILLISECONDS = 10_000L
private const val SHORTEST_BLOCK_MILLISECONDS = 8_000L
private const val LONGEST_BLOCK_MILLISECONDS = 60_000L
private const val DELAY_KEPT_PERCENT = 90
