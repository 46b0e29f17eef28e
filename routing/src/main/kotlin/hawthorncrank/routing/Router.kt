package hawthorncrank.routing

import hawthorncrank.protocol.Configuration
import hawthorncrank.routing.internal.emptyRouter
import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.QueuedWork

/**
 * Chooses upstreams by load, prefix match, speed and distance. It is immutable: every change returns the next router.
 * Random choices come from a seed in the state, so equal histories give equal choices.
 *
 * Attempt numbers are keys that the caller chooses; one attempt is known from [attemptStarted] to [attemptEnded].
 */
interface Router {
    /** Read access for metrics and checks. */
    val view: RouterView

    /** Takes over a configuration. What is known of upstreams that stay is kept. */
    fun configure(configuration: Configuration): Router

    /** How many entries of this availability zone are live, this one included; each owns an equal share. */
    fun setLiveEntries(count: Int): Router

    /** Upstreams start eligible; drained, leaving or dead ones are set otherwise until they return. */
    fun setEligible(
        upstream: String,
        eligible: Boolean,
    ): Router

    /** An upstream's report of its own load. Reports that are older than the newest known are ignored. */
    fun observeLoad(
        upstream: String,
        load: UpstreamLoad,
        now: Long,
    ): Router

    /** Prefix-cache events of an engine. A jump in [sequence] means that events were lost. */
    fun observeCache(
        upstream: String,
        sequence: Long,
        stored: List<Long>,
        evicted: List<Long>,
    ): Router

    fun attemptStarted(
        attempt: RoutedAttempt,
        now: Long,
    ): Router

    /** The first token has come, so that the engine has read the prompt. */
    fun firstTokenReceived(attemptNumber: Long): Router

    /** [tokens] is the total of the attempt. */
    fun attemptProgress(
        attemptNumber: Long,
        tokens: Int,
        now: Long,
    ): Router

    /** [answerBytes] counts for cross-region billing. */
    fun attemptEnded(
        attemptNumber: Long,
        answerBytes: Long = 0,
    ): Router

    /** Chooses an upstream for [question], or says why there is none. The work is counted by [attemptStarted]. */
    fun place(
        question: RoutingQuestion,
        now: Long,
    ): RoutingAnswer
}

/** An upstream's own view of its load. */
data class UpstreamLoad(
    val sequence: Long,
    val running: Int,
    val queued: Int,
    val slots: Int,
    val tokenIntervalMilliseconds: Double?,
)

/** A started attempt. [suspect] marks one that may crash its engine, which then takes no other suspect. */
data class RoutedAttempt(
    val number: Long,
    val upstream: String,
    val work: QueuedWork,
    val tier: Int,
    val capacity: CapacityKind,
    val suspect: Boolean = false,
)

/**
 * Asks for an upstream. [preemptableTier] gives the lowest tier that the entry could preempt on an upstream. A slow
 * upstream is chosen only if [likelyMaximumTokens] would end in time at its pace.
 */
class RoutingQuestion(
    val work: QueuedWork,
    val tier: Int,
    val capacity: CapacityKind,
    val constraint: PlacementConstraint = PlacementConstraint(),
    val preemptableTier: (String) -> Int? = { null },
    val likelyMaximumTokens: Int? = null,
)

/** [isolated] asks for an engine with no other suspect and the least other work. */
data class PlacementConstraint(
    val excluded: Set<String> = emptySet(),
    val isolated: Boolean = false,
)

sealed interface RoutingAnswer {
    /** [router] has advanced its generator. [overcommitted]: only work of lower tiers exceeds the entry's share. */
    data class Chosen(
        val upstream: String,
        val overcommitted: Boolean,
        val router: Router,
    ) : RoutingAnswer

    /** All upstreams of the target are full for this tier. */
    data object NoRoom : RoutingAnswer

    /** Upstreams exist, but the question's own constraint rules them out. */
    data object ConstraintUnmet : RoutingAnswer

    /** No upstream of the target is eligible. */
    data object NoUpstream : RoutingAnswer
}

/** Where this entry is; it prefers upstreams of its zone, then of its region. */
data class RouterLocation(
    val availabilityZone: String,
    val region: String,
)

/** Creates a router that knows no load yet. */
fun router(
    configuration: Configuration,
    location: RouterLocation,
    liveEntries: Int,
    randomSeed: Long,
    policy: RoutingPolicy = RoutingPolicy(),
): Router = emptyRouter(location, liveEntries, randomSeed, policy).configure(configuration)
