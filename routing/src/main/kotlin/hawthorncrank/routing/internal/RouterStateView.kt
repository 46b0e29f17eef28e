package hawthorncrank.routing.internal

import hawthorncrank.routing.RouterView
import hawthorncrank.scheduling.WorkTarget

/** The view of a [RouterState]. */
internal class RouterStateView(
    private val state: RouterState,
) : RouterView {
    override fun inFlight(upstream: String): Int = state.upstreams[upstream]?.ownAttempts ?: 0

    override fun pendingPrefillTokens(upstream: String): Int = state.upstreams[upstream]?.pendingPrefillTokens ?: 0

    override fun prefillTokens(attemptNumber: Long): Int = state.attempts[attemptNumber]?.prefillTokens ?: 0

    override fun prefillSpeed(target: WorkTarget): Double =
        (state.loads[target] ?: TargetLoad()).speed.tokensPerMillisecond

    override fun tokenInterval(upstream: String): Double? =
        state.upstreams[upstream]
            ?.observations
            ?.speed
            ?.interval

    override fun speedFactor(upstream: String): Double = state.upstreams[upstream]?.let(state::speedFactor) ?: 1.0

    override val slowdowns: Map<String, Double> get() = state.slowEngines.slowdowns

    override fun share(
        upstream: String,
        now: Long,
    ): Double = state.upstreams[upstream]?.let { state.share(it, nearestDistanceOf(it), now) } ?: 0.0

    private fun nearestDistanceOf(upstream: UpstreamState): Distance =
        targetsOf(upstream.settings).minOfOrNull { state.nearestDistance(it) } ?: Distance.ZONE

    override fun isEligible(upstream: String): Boolean = state.upstreams[upstream]?.usable ?: false

    override fun warmingUpstreams(now: Long): Set<String> = state.warmUps.warming(now)

    override fun crossesRegion(upstream: String): Boolean = state.upstreams[upstream]?.distance == Distance.OTHER_REGION

    override fun crossRegionBytes(organisation: String): Long = state.crossRegionBytes[organisation] ?: 0

    override val prefixBlocks: Int
        get() = state.prefixes.size
}
