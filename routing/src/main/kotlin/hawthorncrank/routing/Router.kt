package hawthorncrank.routing

import hawthorncrank.protocol.Configuration
import hawthorncrank.routing.internal.emptyRouter
import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.QueuedWork

/**
 * Chooses upstreams by load, prefix match, speed and distance. It is immutable: every change returns a new router.
 * Random choices come from a seed in the state, so equal histories give equal choices.
 *
 * The caller chooses the attempt numbers. The router counts an attempt from [attemptStarted] to [attemptEnded].
 */
interface Router {
    /** Read access for metrics and checks. */
    val view: RouterView

    /** Applies a configuration. The state of upstreams that remain in it is kept. */
    fun configure(configuration: Configuration): Router

    /**
     * Sets how many entries of this availability zone are live, including this one. Each owns an equal share of the
     * slots.
     */
    fun setLiveEntries(count: Int): Router

    /**
     * Sets whether the upstream may get work. Upstreams start eligible; drained, leaving or dead ones are not until
     * they return.
     */
    fun setEligible(
        upstream: String,
        eligible: Boolean,
    ): Router

    /** Sets how many entries the whole fleet has, which decides how they follow one another to an upstream that warms up. */
    fun setFleetEntries(count: Int): Router

    /** Records that the upstream started or recovered, so that it warms up if the settings ask for it. */
    fun recovered(
        upstream: String,
        now: Long,
    ): Router

    /**
     * Sets which engines are slower than others of their service, and how many times as long they take for the same work. They
     * get less urgent work. It replaces what was set before.
     */
    fun setSlowdowns(slowdowns: Map<String, Double>): Router

    /** Records an upstream's report of its own load. Reports that are older than the newest known are ignored. */
    fun observeLoad(
        upstream: String,
        load: UpstreamLoad,
        now: Long,
    ): Router

    /** Records prefix-cache events of an engine. A gap in [sequence] means that events were lost. */
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

    /** Records that the first token has arrived, so that the engine has finished the prefill of the prompt. */
    fun firstTokenReceived(
        attemptNumber: Long,
        now: Long,
    ): Router

    /** Records progress of an attempt; [tokens] is its total so far. */
    fun attemptProgress(
        attemptNumber: Long,
        tokens: Int,
        now: Long,
    ): Router

    /** Records that the upstream failed or rejected an attempt. [attemptEnded] then removes the attempt. */
    fun attemptFailed(
        attemptNumber: Long,
        now: Long,
    ): Router

    /** Records the end of an attempt. [answerBytes] counts for cross-region billing. */
    fun attemptEnded(
        attemptNumber: Long,
        answerBytes: Long = 0,
    ): Router

    /**
     * Chooses an upstream for [question], or returns why there is none. [attemptStarted] then counts the work as load.
     */
    fun place(
        question: RoutingQuestion,
        now: Long,
    ): RoutingAnswer
}

/** An upstream's report of its own load. */
data class UpstreamLoad(
    val sequence: Long,
    val running: Int,
    val queued: Int,
    val slots: Int,
    val tokenIntervalMilliseconds: Double?,
)

/**
 * A started attempt. [suspect] marks a request that may crash its engine, which then gets no other suspect. Nearly all answers
 * of its class or organisation stay below [likelyMaximumTokens].
 */
data class RoutedAttempt(
    val number: Long,
    val upstream: String,
    val work: QueuedWork,
    val tier: Int,
    val capacity: CapacityKind,
    val suspect: Boolean = false,
    val likelyMaximumTokens: Int? = null,
)

/**
 * Asks for an upstream. [preemptableTier] gives the lowest tier that the entry could preempt on an upstream. A slow
 * upstream is chosen only if it can produce [likelyMaximumTokens] before the deadline at its current speed.
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
    /**
     * [router] has the random seed for the next choice. [overcommitted] is true if work of lower tiers makes this
     * placement exceed the entry's share.
     */
    data class Chosen(
        val upstream: String,
        val overcommitted: Boolean,
        val router: Router,
    ) : RoutingAnswer

    /** No upstream that the request may use now has room for its tier. */
    data object NoRoom : RoutingAnswer

    /** The target has eligible upstreams, but none meets the constraint of the question. */
    data object ConstraintUnmet : RoutingAnswer

    /** The engine for this prompt is busy with others. Requests with another prompt might be placed. */
    data object Held : RoutingAnswer

    /** No upstream of the target is eligible. */
    data object NoUpstream : RoutingAnswer
}

/** The location of this entry, which prefers upstreams of its zone, then of its region. */
data class RouterLocation(
    val availabilityZone: String,
    val region: String,
)

/** Creates a router that has no load information yet. Without [warmUp], upstreams that return get their full share at once. */
fun router(
    configuration: Configuration,
    location: RouterLocation,
    liveEntries: Int,
    randomSeed: Long,
    policy: RoutingPolicy = RoutingPolicy(),
    warmUp: WarmUpSettings? = null,
): Router = emptyRouter(location, liveEntries, randomSeed, policy, warmUp).configure(configuration)
