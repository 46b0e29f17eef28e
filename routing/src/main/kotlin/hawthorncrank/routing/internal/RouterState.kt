package hawthorncrank.routing.internal

import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.routing.RoutedAttempt
import hawthorncrank.routing.Router
import hawthorncrank.routing.RouterLocation
import hawthorncrank.routing.RouterView
import hawthorncrank.routing.RoutingAnswer
import hawthorncrank.routing.RoutingPolicy
import hawthorncrank.routing.RoutingQuestion
import hawthorncrank.routing.UpstreamLoad
import hawthorncrank.scheduling.WorkTarget
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap

internal fun emptyRouter(
    location: RouterLocation,
    liveEntries: Int,
    randomSeed: Long,
    policy: RoutingPolicy,
): Router = RouterState(location, policy, liveEntries.coerceAtLeast(1), randomSeed)

/** The router's whole state. Choices are made by [Choosing]. */
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
    val crossRegionBytes: PersistentMap<String, Long> = persistentHashMapOf(),
) : Router {
    override val view: RouterView
        get() = StateView(this)

    override fun configure(configuration: Configuration): Router {
        val named = configuration.upstreams.associateBy { it.name }
        val states =
            named.mapValues { (name, settings) ->
                upstreams[name]?.copy(settings = settings, distance = distance(settings))
                    ?: UpstreamState(settings, distance(settings))
            }
        return copy(
            upstreams = states.toPersistentHashMap(),
            classes = configuration.classes.associateBy { it.name }.toPersistentHashMap(),
            medians = persistentHashMapOf(),
        ).withCandidates()
    }

    override fun setLiveEntries(count: Int): Router = copy(liveEntries = count.coerceAtLeast(1)).withCandidates()

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
            ?: next.judge(upstream, now)
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
        val next =
            copy(
                upstreams = upstreams.put(attempt.upstream, state.started(attempt)),
                attempts = attempts.put(attempt.number, RunningAttempt(attempt, 0, now)),
                prefixes =
                    if (policy.prefixAffinity) prefixes.add(attempt.work.prefixBlocks, state.cache) else prefixes,
            )
        return next.countCrossRegion(state, attempt, attempt.work.bodyBytes.toLong())
    }

    override fun firstTokenReceived(attemptNumber: Long): Router {
        val running = attempts[attemptNumber] ?: return this
        val state = upstreams[running.attempt.upstream] ?: return this
        if (!running.reading) return this
        return copy(
            upstreams = upstreams.put(running.attempt.upstream, state.hasRead(running.attempt.work)),
            attempts = attempts.put(attemptNumber, running.copy(reading = false)),
        )
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
        return next.observeInterval(running.attempt.upstream, elapsed.toDouble() / produced, now)
    }

    override fun attemptEnded(
        attemptNumber: Long,
        answerBytes: Long,
    ): Router {
        val running = attempts[attemptNumber] ?: return this
        val attempt = running.attempt
        val next = copy(attempts = attempts.remove(attemptNumber))
        val known = upstreams[attempt.upstream] ?: return next
        val state = if (running.reading) known.hasRead(attempt.work) else known
        return next
            .copy(upstreams = upstreams.put(attempt.upstream, state.ended(attempt)))
            .countCrossRegion(state, attempt, answerBytes)
    }

    override fun place(
        question: RoutingQuestion,
        now: Long,
    ): RoutingAnswer = Choosing(this, question, now).choose()

    /**
     * The requests of shared capacity that this entry may have on the upstream: its owned part of the upstreams at its
     * [home] distance, and its part of what is reported free. A zone without upstreams of a target is at home among
     * those of the region, which it shares with the region's other zones.
     */
    fun share(
        state: UpstreamState,
        home: Distance,
        now: Long,
    ): Double {
        val factor = factor(state)
        val borrowed = state.free(now, policy.loadDiscounting) / liveEntries * factor
        if (state.distance > home && state.report != null) return borrowed
        val owned = state.slots * (1 - floorFraction) / (liveEntries * zonesSharing[state.distance.ordinal])
        return maxOf(1.0, owned * factor) + borrowed
    }

    /** The nearest distance at which the target has usable upstreams. */
    fun home(target: WorkTarget): Distance =
        Distance.entries.firstOrNull { !candidates[target]?.at(it).isNullOrEmpty() } ?: Distance.ELSEWHERE

    fun factor(state: UpstreamState): Double = if (policy.slowDetection) state.speed.factor else 1.0

    private fun observeInterval(
        upstream: String,
        interval: Double,
        now: Long,
    ): RouterState {
        val state = upstreams[upstream] ?: return this
        val observed = state.copy(speed = state.speed.observe(interval, now))
        return copy(upstreams = upstreams.put(upstream, observed)).judge(upstream, now)
    }

    private fun judge(
        upstream: String,
        now: Long,
    ): RouterState {
        val state = upstreams[upstream] ?: return this
        val target = targetsOf(state.settings).firstOrNull() ?: return this
        val withMedian = refreshMedian(target, now)
        val judged = state.copy(speed = state.speed.judge(withMedian.medians[target]?.value, now))
        return withMedian.copy(upstreams = upstreams.put(upstream, judged))
    }

    /** The median over all peers costs as much as there are peers, so it is taken at most twice per second. */
    private fun refreshMedian(
        target: WorkTarget,
        now: Long,
    ): RouterState {
        val known = medians[target]
        if (known != null && now - known.at < MEDIAN_MILLISECONDS) return this
        val intervals =
            candidates[target]
                ?.all
                .orEmpty()
                .mapNotNull { name ->
                    upstreams[name]?.speed?.takeIf {
                        now - it.intervalAt <=
                            SpeedState.STALE_MILLISECONDS
                    }
                }.mapNotNull { it.interval }
                .sorted()
        val value = if (intervals.size < LEAST_PEERS) null else intervals[(intervals.size - 1) / 2]
        return copy(medians = medians.put(target, PeerMedian(value, now)))
    }

    private fun countCrossRegion(
        state: UpstreamState,
        attempt: RoutedAttempt,
        bytes: Long,
    ): RouterState {
        if (state.distance != Distance.ELSEWHERE || bytes == 0L) return this
        val organisation = attempt.work.organisation
        return copy(
            crossRegionBytes = crossRegionBytes.put(organisation, (crossRegionBytes[organisation] ?: 0) + bytes),
        )
    }

    private fun withCandidates(): RouterState {
        val usable = upstreams.values.filter { it.usable }.sortedBy { it.settings.name }
        val byTarget =
            usable
                .flatMap { state ->
                    targetsOf(state.settings).map { it to state }
                }.groupBy({ it.first }, { it.second })
        val inZone = usable.filter { it.distance == Distance.ZONE && it.settings.kind == UpstreamKind.ENGINE }
        val floorSlots = classes.values.sumOf { maxOf(1, it.floorSlots) } * liveEntries
        val slots = inZone.sumOf { it.slots }
        return copy(
            candidates = byTarget.mapValues { (_, states) -> Candidates(states) }.toPersistentHashMap(),
            zonesSharing = Distance.entries.map(::zonesWithin),
            floorFraction = floorFraction(floorSlots, slots),
        )
    }

    private fun floorFraction(
        floorSlots: Int,
        slots: Int,
    ): Double {
        if (slots == 0 || !policy.reservesFloors) return 0.0
        return minOf(LARGEST_FLOOR_FRACTION, floorSlots.toDouble() / slots)
    }

    /** How many availability zones, this one included, have upstreams within the distance. */
    private fun zonesWithin(distance: Distance): Int {
        val zones = upstreams.values.filter { it.distance <= distance }.map { it.settings.availabilityZone }
        return (zones + location.availabilityZone).distinct().size
    }

    private fun distance(settings: Upstream): Distance =
        when {
            settings.availabilityZone == location.availabilityZone -> Distance.ZONE
            settings.region == location.region -> Distance.REGION
            else -> Distance.ELSEWHERE
        }

    companion object {
        private const val MEDIAN_MILLISECONDS = 500L

        /** With two engines, the lower interval is the reference; one alone is never slow. */
        private const val LEAST_PEERS = 2

        /** Shared capacity keeps at least three quarters of a small zone. */
        private const val LARGEST_FLOOR_FRACTION = 0.25

        fun targetsOf(settings: Upstream): List<WorkTarget> =
            when (settings.kind) {
                UpstreamKind.ENGINE -> settings.models.map { WorkTarget.Model(it) }
                UpstreamKind.SERVICE -> listOfNotNull(settings.service?.let { WorkTarget.Service(it) })
            }
    }
}

/** The usable upstreams of a target by distance, in a fixed order. */
internal class Candidates(
    states: List<UpstreamState>,
) {
    val all: List<String> = states.map { it.settings.name }
    private val byDistance =
        Distance.entries.map { distance ->
            states.filter { it.distance == distance }.map { it.settings.name }
        }

    private val forShortPrompts =
        states
            .groupBy { it.settings.availabilityZone }
            .values
            .flatMapTo(HashSet()) { shortPromptEngines(it) }

    fun at(distance: Distance): List<String> = byDistance[distance.ordinal]

    fun isForShortPrompts(name: String): Boolean = name in forShortPrompts

    private fun shortPromptEngines(zone: List<UpstreamState>): List<String> {
        val count = (zone.size * SHORT_PROMPT_SHARE + 0.5).toInt()
        return zone.map { it.settings.name }.sortedByDescending { PromptDelays.homeRank(0, it) }.take(count)
    }

    private companion object {
        // The least that keeps one engine for short prompts in a zone with two or three.
        const val SHORT_PROMPT_SHARE = 0.34
    }
}

/** [reading] lasts until the first token. */
internal data class RunningAttempt(
    val attempt: RoutedAttempt,
    val tokens: Int,
    val tokensAt: Long,
    val reading: Boolean = true,
)

internal class PeerMedian(
    val value: Double?,
    val at: Long,
)

private class StateView(
    private val state: RouterState,
) : RouterView {
    override fun inFlight(upstream: String): Int = state.upstreams[upstream]?.own ?: 0

    override fun speedFactor(upstream: String): Double = state.upstreams[upstream]?.let(state::factor) ?: 1.0

    override fun share(
        upstream: String,
        now: Long,
    ): Double = state.upstreams[upstream]?.let { state.share(it, homeOf(it), now) } ?: 0.0

    private fun homeOf(upstream: UpstreamState): Distance =
        RouterState.targetsOf(upstream.settings).minOfOrNull { state.home(it) } ?: Distance.ZONE

    override fun isEligible(upstream: String): Boolean = state.upstreams[upstream]?.usable ?: false

    override fun crossesRegion(upstream: String): Boolean = state.upstreams[upstream]?.distance == Distance.ELSEWHERE

    override fun crossRegionBytes(organisation: String): Long = state.crossRegionBytes[organisation] ?: 0

    override val prefixBlocks: Int
        get() = state.prefixes.size
}
