package hawthorncrank.routing.internal

import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.routing.ChoiceRule
import hawthorncrank.routing.RoutedAttempt
import hawthorncrank.routing.Router
import hawthorncrank.routing.RouterLocation
import hawthorncrank.routing.RouterView
import hawthorncrank.routing.RoutingAnswer
import hawthorncrank.routing.RoutingPolicy
import hawthorncrank.routing.RoutingQuestion
import hawthorncrank.routing.UpstreamLoad
import hawthorncrank.routing.WarmUpSettings
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.WorkTarget
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentSet

internal fun emptyRouter(
    location: RouterLocation,
    liveEntries: Int,
    randomSeed: Long,
    policy: RoutingPolicy,
    warmUp: WarmUpSettings?,
): Router = RouterState(location, policy, liveEntries.coerceAtLeast(1), randomSeed, warmUps = WarmUps(warmUp))

/** The complete state of the router. [UpstreamSelector] chooses upstreams. */
internal data class RouterState(
    val location: RouterLocation,
    val policy: RoutingPolicy,
    val liveEntries: Int,
    val seed: Long,
    val rotation: Int = 0,
    val upstreams: PersistentMap<String, UpstreamState> = persistentHashMapOf(),
    val classes: PersistentMap<String, TrafficClass> = persistentHashMapOf(),
    val candidates: PersistentMap<WorkTarget, Candidates> = persistentHashMapOf(),
    val floorFraction: Double = 0.0,
    val zonesSharing: List<Int> = List(Distance.entries.size) { 1 },
    val attempts: PersistentMap<Long, RunningAttempt> = persistentHashMapOf(),
    val prefixes: PrefixIndex = PrefixIndex(),
    val medians: PersistentMap<WorkTarget, PeerMedian> = persistentHashMapOf(),
    val slowEngines: SlowEngines = SlowEngines.NONE,
    val streamTargets: PersistentSet<StreamTargets> = persistentSetOf(),
    val loads: PersistentMap<WorkTarget, TargetLoad> = persistentHashMapOf(),
    val networkDelays: NetworkDelays = NetworkDelays(),
    val crossRegionBytes: PersistentMap<String, Long> = persistentHashMapOf(),
    val warmUps: WarmUps = WarmUps(),
) : Router {
    override val view: RouterView
        get() = RouterStateView(this)

    override fun configure(configuration: Configuration): Router {
        val named = configuration.upstreams.associateBy { it.name }
        val states =
            named.mapValues { (name, settings) ->
                upstreams[name]?.copy(settings = settings, distance = distance(settings))
                    ?: UpstreamState(settings, distance(settings))
            }
        val targets = configuration.classes.mapTo(HashSet()) { StreamTargets.of(it) }
        return copy(
            upstreams = states.toPersistentHashMap(),
            streamTargets = targets.toPersistentSet(),
            loads = loads.mapValues { (_, load) -> load.retain(targets) }.toPersistentHashMap(),
            classes = configuration.classes.associateBy { it.name }.toPersistentHashMap(),
            medians = persistentHashMapOf(),
        ).withCandidates().retainWarmUps()
    }

    override fun setLiveEntries(count: Int): Router = copy(liveEntries = count.coerceAtLeast(1)).withCandidates()

    override fun setSlowdowns(slowdowns: Map<String, Double>): Router =
        if (slowdowns == slowEngines.slowdowns) this else copy(slowEngines = SlowEngines(slowdowns)).withCandidates()

    override fun setFleetEntries(count: Int): Router = copy(warmUps = warmUps.setEntries(count))

    override fun recovered(
        upstream: String,
        now: Long,
    ): Router = warmUpBegun(upstream, now)

    override fun attemptFailed(
        attemptNumber: Long,
        now: Long,
    ): Router = attempts[attemptNumber]?.let { copy(warmUps = warmUps.failed(it, now)) } ?: this

    override fun setEligible(
        upstream: String,
        eligible: Boolean,
    ): Router {
        val state = upstreams[upstream] ?: return this
        if (state.eligible == eligible) return this
        return copy(upstreams = upstreams.put(upstream, state.copy(eligible = eligible))).withCandidates()
    }

    override fun observeLoad(
        upstream: String,
        load: UpstreamLoad,
        now: Long,
    ): Router {
        val state = upstreams[upstream] ?: return this
        val observed = state.observe(load, now)
        if (observed === state) return this
        val next = copy(upstreams = upstreams.put(upstream, observed))
        return load.tokenIntervalMilliseconds?.let { next.observeInterval(upstream, it, now) }
            ?: next.evaluateSpeed(upstream, now)
    }

    override fun observeCache(
        upstream: String,
        sequence: Long,
        stored: List<Long>,
        evicted: List<Long>,
    ): Router {
        val state = upstreams[upstream] ?: return this
        val followed = state.cache.follow(sequence)
        return copy(
            upstreams = upstreams.put(upstream, state.copy(cache = followed)),
            prefixes = prefixes.remove(evicted, upstream).add(stored, followed),
        )
    }

    override fun attemptStarted(
        attempt: RoutedAttempt,
        now: Long,
    ): Router {
        val state = upstreams[attempt.upstream] ?: return this
        val compares = policy.choice == ChoiceRule.LEAST_DELAY && attempt.work.promptTokens > 0
        val delays = if (compares) PromptDelays(this, attempt.work, now) else null
        val prefillTokens = delays?.prefillTokens(attempt.upstream) ?: 0
        val running = RunningAttempt(attempt, now, prefillTokens, state.pendingPrefillTokens)
        val next =
            copy(
                upstreams = upstreams.put(attempt.upstream, state.started(attempt, prefillTokens)),
                attempts = attempts.put(attempt.number, running),
                loads = delays?.loadsWith(prefillTokens) ?: loads,
                prefixes =
                    if (policy.prefixAffinity) prefixes.add(attempt.work.prefixBlocks, state.cache) else prefixes,
            )
        return next.countCrossRegionBytes(state, attempt, attempt.work.bodyBytes.toLong())
    }

    override fun firstTokenReceived(
        attemptNumber: Long,
        now: Long,
    ): Router {
        val running = attempts[attemptNumber] ?: return this
        val state = upstreams[running.attempt.upstream] ?: return this
        if (!running.prefilling) return this
        val observed =
            state.copy(
                observations = state.observations.firstToken(overdue(running, state.distance, now), now),
            )
        return copy(
            upstreams = upstreams.put(running.attempt.upstream, observed.prefillEnded(running)),
            attempts = attempts.put(attemptNumber, running.copy(prefilling = false)),
        ).learnSpeeds(running, state.distance, now).firstTokenObserved(running, now)
    }

    /** By how many milliseconds the attempt has waited for its first token longer than this entry's own work explains. */
    fun overdue(
        running: RunningAttempt,
        distance: Distance,
        now: Long,
    ): Double {
        val speed = (loads[running.attempt.work.target] ?: TargetLoad()).speed
        val expected =
            speed.millisecondsFor(running.waitingTokens + running.prefillTokens) + networkDelays.roundTrip(distance)
        return now - running.startedAt - expected
    }

    /** An attempt that waited for no other one of this entry shows the speed of the engine and of the network. */
    private fun learnSpeeds(
        running: RunningAttempt,
        distance: Distance,
        now: Long,
    ): RouterState {
        val target = running.attempt.work.target
        if (running.waitingTokens > 0 || running.prefillTokens == 0) return this
        val load = loads[target] ?: TargetLoad()
        val elapsed = (now - running.startedAt).toDouble()
        val network = networkDelays.observe(distance, elapsed - load.speed.millisecondsFor(running.prefillTokens))
        val speed = load.speed.observe(running.prefillTokens, elapsed - networkDelays.roundTrip(distance))
        return copy(loads = loads.put(target, load.copy(speed = speed)), networkDelays = network)
    }

    override fun attemptProgress(
        attemptNumber: Long,
        tokens: Int,
        now: Long,
    ): Router {
        val running = attempts[attemptNumber] ?: return this
        val produced = tokens - running.tokens
        val elapsed = now - running.tokensAt
        if (produced < 1 || elapsed < 1) return this
        val next = copy(attempts = attempts.put(attemptNumber, running.copy(tokens = tokens, tokensAt = now)))
        if (running.tokens == 0) return next
        return next
            .observePace(running.attempt, elapsed, produced, now)
            .observeInterval(running.attempt.upstream, elapsed.toDouble() / produced, now)
    }

    override fun attemptEnded(
        attemptNumber: Long,
        answerBytes: Long,
    ): Router {
        val running = attempts[attemptNumber] ?: return this
        val attempt = running.attempt
        val next = copy(attempts = attempts.remove(attemptNumber))
        val known = upstreams[attempt.upstream] ?: return next
        val state = if (running.prefilling) known.prefillEnded(running) else known
        return next
            .copy(upstreams = upstreams.put(attempt.upstream, state.ended(attempt)))
            .countCrossRegionBytes(state, attempt, answerBytes)
    }

    override fun place(
        question: RoutingQuestion,
        now: Long,
    ): RoutingAnswer {
        val answer = UpstreamSelector(this, question, now).choose()
        if (answer is RoutingAnswer.Chosen || !mayExceedWarmUp(question, now)) return answer
        return UpstreamSelector(this, question, now, bounded = false).choose()
    }

    /**
     * The number of requests of shared capacity that this entry may have on the upstream: its owned share of the
     * upstreams at the [nearest] distance, and its share of the slots reported free. An entry whose zone has no
     * upstreams of a target owns a share of those of the region, together with the other zones of the region.
     */
    fun share(
        state: UpstreamState,
        nearest: Distance,
        now: Long,
    ): Double {
        val factor = speedFactor(state)
        val borrowed = state.observations.free(state.ownAttempts, now, policy.loadDiscounting) / liveEntries * factor
        if (state.distance > nearest && state.observations.report != null) return borrowed
        val owned = state.slots * (1 - floorFraction) / (liveEntries * zonesSharing[state.distance.ordinal])
        return maxOf(1.0, owned * factor) + borrowed
    }

    /** The nearest distance at which the target has usable upstreams. */
    fun nearestDistance(target: WorkTarget): Distance =
        Distance.entries.firstOrNull { !candidates[target]?.at(it).isNullOrEmpty() } ?: Distance.OTHER_REGION

    fun speedFactor(state: UpstreamState): Double = if (policy.slowDetection) state.observations.speed.factor else 1.0

    /** The fraction of the prompt's blocks that engines hold by this entry's records. */
    fun prefixMatches(work: QueuedWork): Map<String, Double> =
        if (policy.prefixAffinity) prefixes.matches(work.prefixBlocks) { upstreams[it]?.cache } else emptyMap()

    private fun countCrossRegionBytes(
        state: UpstreamState,
        attempt: RoutedAttempt,
        bytes: Long,
    ): RouterState {
        if (state.distance != Distance.OTHER_REGION || bytes == 0L) return this
        val organisation = attempt.work.organisation
        return copy(
            crossRegionBytes = crossRegionBytes.put(organisation, (crossRegionBytes[organisation] ?: 0) + bytes),
        )
    }
}
