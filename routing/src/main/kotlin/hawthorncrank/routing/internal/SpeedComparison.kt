package hawthorncrank.routing.internal

import hawthorncrank.routing.RoutedAttempt
import hawthorncrank.scheduling.WorkTarget

private const val MEDIAN_UPDATE_MILLISECONDS = 500L

/** With two engines, the lower interval is the reference; one alone is never slow. */
private const val LEAST_PEERS = 2

internal fun RouterState.observePace(
    attempt: RoutedAttempt,
    elapsed: Long,
    produced: Int,
    now: Long,
): RouterState {
    val state = upstreams[attempt.upstream] ?: return this
    val observed = state.observations.progress(elapsed, produced, now)
    val load = loads[attempt.work.target] ?: TargetLoad()
    val fastest = load.fastestPace.observe(elapsed.toDouble() / produced, now)
    return copy(
        upstreams = upstreams.put(attempt.upstream, state.copy(observations = observed)),
        loads = loads.put(attempt.work.target, load.copy(fastestPace = fastest)),
    ).paceObserved(attempt, observed.pace.recent(now), elapsed, now)
}

internal fun RouterState.observeInterval(
    upstream: String,
    interval: Double,
    now: Long,
): RouterState {
    val state = upstreams[upstream] ?: return this
    val observed = state.copy(observations = state.observations.interval(interval, now))
    return copy(upstreams = upstreams.put(upstream, observed)).evaluateSpeed(upstream, now)
}

internal fun RouterState.evaluateSpeed(
    upstream: String,
    now: Long,
): RouterState {
    val state = upstreams[upstream] ?: return this
    val target = targetsOf(state.settings).firstOrNull() ?: return this
    val withMedian = refreshMedian(target, now)
    val compared = state.observations.comparedWith(withMedian.medians[target]?.value, now)
    return withMedian
        .copy(upstreams = upstreams.put(upstream, state.copy(observations = compared)))
        .warmUpAfterSlowSpell(state, now)
}

/**
 * Computing the median takes time in proportion to the number of peers, so it is updated at most twice per second.
 */
private fun RouterState.refreshMedian(
    target: WorkTarget,
    now: Long,
): RouterState {
    val known = medians[target]
    if (known != null && now - known.at < MEDIAN_UPDATE_MILLISECONDS) return this
    val intervals =
        candidates[target]
            ?.all
            .orEmpty()
            .mapNotNull { upstreams[it]?.observations?.recentInterval(now) }
            .sorted()
    val value = if (intervals.size < LEAST_PEERS) null else intervals[(intervals.size - 1) / 2]
    return copy(medians = medians.put(target, PeerMedian(value, now)))
}
