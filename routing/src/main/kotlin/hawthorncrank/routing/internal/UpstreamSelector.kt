package hawthorncrank.routing.internal

import hawthorncrank.routing.ChoiceRule
import hawthorncrank.routing.RoutingAnswer
import hawthorncrank.routing.RoutingQuestion
import hawthorncrank.scheduling.CapacityKind
import java.util.SplittableRandom

/**
 * Chooses an upstream for one question. Upstreams with free room are searched for in the zone, then in the region. If
 * there are none, rule R2 admits the request regardless of lower tiers, on the upstream whose preemptable work is of
 * the lowest tier. Slow engines are tried after that, because work that could run elsewhere would miss its latency
 * targets there. Another region is used only if the latency target would otherwise be missed. Among upstreams with
 * room, the cheapest of two random ones and those that hold the prompt's prefix is chosen, or the cheapest of all if
 * none of these has room.
 *
 * An upstream that warms up has no room beyond the bound of its warm-up, unless [bounded] is false.
 *
 * For isolated requests, and with [ChoiceRule.LEAST_DELAY] for all requests with a prompt, all upstreams of the target
 * are compared instead.
 */
internal class UpstreamSelector(
    private val state: RouterState,
    private val question: RoutingQuestion,
    private val now: Long,
    private val bounded: Boolean = true,
) {
    private val random = SplittableRandom(state.seed)
    private val work = question.work
    private val nearest = state.nearestDistance(work.target)
    private val matches: Map<String, Double> = state.prefixMatches(work)

    private val warmShare by lazy(LazyThreadSafetyMode.NONE) { state.warmShare(question, now) }

    fun choose(): RoutingAnswer {
        val candidates = state.candidates[work.target] ?: return RoutingAnswer.NoUpstream
        if (question.constraint.isolated) return isolated(candidates)
        if (state.policy.choice == ChoiceRule.LEAST_DELAY && work.promptTokens > 0) {
            return leastDelay(candidates.all) ?: noRoom(candidates)
        }
        chooseFrom(listOf(candidates.at(Distance.ZONE), candidates.at(Distance.REGION)))?.let { return it }
        if (mayLeaveRegion(candidates)) chooseFrom(listOf(candidates.at(Distance.OTHER_REGION)))?.let { return it }
        return noRoom(candidates)
    }

    private fun noRoom(candidates: Candidates): RoutingAnswer {
        val excludedAll = candidates.all.all { it in question.constraint.excluded }
        return if (excludedAll) RoutingAnswer.ConstraintUnmet else RoutingAnswer.NoRoom
    }

    private fun endsInTime(name: String): Boolean {
        val finishBy = work.finishBy ?: return true
        val interval = upstream(name).observations.speed.interval ?: return true
        return now + interval * (question.likelyMaximumTokens ?: 0) <= finishBy
    }

    /** Chooses an upstream with room from groups that are ordered from near to far. */
    private fun chooseFrom(groups: List<List<String>>): RoutingAnswer? {
        val normal = groups.map { names -> names.filter { state.speedFactor(upstream(it)) >= 1.0 } }
        val slow = groups.map { names -> names.filter { state.speedFactor(upstream(it)) < 1.0 && endsInTime(it) } }
        return firstWithRoom(normal) ?: firstWithRoom(slow)
    }

    private fun firstWithRoom(groups: List<List<String>>): RoutingAnswer? =
        groups.firstNotNullOfOrNull(::withFreeRoom) ?: groups.firstNotNullOfOrNull(::ignoringLowerTiers)

    /**
     * Chooses the engine with no other suspect and the least other work, from another region only if there is no other
     * one. Ties go to the engine with the least work of tier 1.
     */
    private fun isolated(candidates: Candidates): RoutingAnswer {
        val chosen =
            candidates.all
                .filter { it !in question.constraint.excluded && upstream(it).suspects == 0 }
                .minWithOrNull(
                    compareBy(
                        { upstream(it).distance == Distance.OTHER_REGION },
                        {
                            upstream(it).ownAttempts +
                                upstream(it).observations.otherEntriesLoad(now, state.policy.loadDiscounting)
                        },
                        { upstream(it).sharedUpTo(1) },
                    ),
                ) ?: return RoutingAnswer.ConstraintUnmet
        return chosen(chosen, overcommitted = false)
    }

    private fun withFreeRoom(names: List<String>): RoutingAnswer? {
        if (names.isEmpty()) return null
        if (state.policy.choice == ChoiceRule.ROUND_ROBIN) return roundRobin(names)
        if (state.policy.choice == ChoiceRule.LEAST_IN_FLIGHT) {
            return names.filter(::hasFreeRoom).minByOrNull { upstream(it).ownAttempts }?.let { chosen(it, false) }
        }
        val sampled = LinkedHashSet<String>()
        repeat(2) { sampled += names[random.nextInt(names.size)] }
        sampled += matches.keys
        val best = sampled.filter { it in names && hasFreeRoom(it) }.minByOrNull(::cost)
        if (best != null) return chosen(best, false)
        return names.filter(::hasFreeRoom).minByOrNull(::cost)?.let { chosen(it, false) }
    }

    /**
     * Compares all engines of the target, because an engine that has already processed the prompt may be worth the distance
     * and worth waiting for.
     */
    private fun leastDelay(names: List<String>): RoutingAnswer? {
        val delays = PromptDelays(state, work, now, matches)
        val holds = PromptHolds(state, work, now)
        val free = names.filter(::hasFreeRoom)
        val normal = free.filter { state.speedFactor(upstream(it)) >= 1.0 }
        val best = normal.ifEmpty { free }.minByOrNull(delays::delay)
        if (best != null) return if (holds.isHeld(best)) RoutingAnswer.Held else chosen(best, overcommitted = false)
        return names
            .filter { hasRoomAboveLowerTiers(it) && !holds.isHeld(it) }
            .minByOrNull(delays::delay)
            ?.let { chosen(it, overcommitted = true) }
    }

    private fun roundRobin(names: List<String>): RoutingAnswer? {
        for (step in names.indices) {
            val name = names[(state.rotation + step) % names.size]
            if (hasFreeRoom(name)) return chosen(name, false)
        }
        return null
    }

    private fun ignoringLowerTiers(names: List<String>): RoutingAnswer? {
        if (!state.policy.tierAware || question.capacity == CapacityKind.FLOOR) return null
        return names
            .filter(::hasRoomAboveLowerTiers)
            .minWithOrNull(compareBy({ -preemptableTier(it) }, ::cost))
            ?.let { chosen(it, overcommitted = true) }
    }

    private fun preemptableTier(name: String): Int = question.preemptableTier(name)?.takeIf { it > question.tier } ?: 0

    private fun hasRoomAboveLowerTiers(name: String): Boolean =
        allowed(name) && withinWarmUp(name) && roomFor(upstream(name).sharedUpTo(question.tier), upstream(name))

    /** Floor work runs on capacity that is reserved for it, so it has room on every usable upstream. */
    private fun hasFreeRoom(name: String): Boolean {
        if (!allowed(name) || !withinWarmUp(name)) return false
        if (question.capacity == CapacityKind.FLOOR) return true
        val upstream = upstream(name)
        return roomFor(upstream.ownAttempts - upstream.floor, upstream)
    }

    /**
     * Shares may be fractions; rounding to the nearest slot keeps their sum over all entries near the number of slots.
     */
    private fun roomFor(
        counted: Int,
        upstream: UpstreamState,
    ): Boolean = counted + 0.5 <= state.share(upstream, nearest, now)

    private fun withinWarmUp(name: String): Boolean =
        !bounded || !state.warmUps.isWarming(name, now) ||
            state.warmUps.hasRoom(name, upstream(name).ownAttempts, warmShare, now)

    private fun allowed(name: String): Boolean = name !in question.constraint.excluded

    /** The load per slot at the engine's current speed, minus what a matching prefix saves. */
    private fun cost(name: String): Double {
        val upstream = upstream(name)
        val load = upstream.ownAttempts + upstream.observations.otherEntriesLoad(now, state.policy.loadDiscounting) + 1
        val loaded = load / (upstream.slots * state.speedFactor(upstream))
        return loaded - PREFIX_WEIGHT * (matches[name] ?: 0.0)
    }

    private fun mayLeaveRegion(candidates: Candidates): Boolean {
        // A retry must not wait for the upstream of this region that has just failed to serve it.
        val near = candidates.at(Distance.ZONE) + candidates.at(Distance.REGION)
        if (near.none(::allowed)) return true
        val settings = state.classes[work.className] ?: return false
        val latencyTarget =
            settings.firstToken?.value ?: work.finishBy?.let { (it - work.arrival) / 2 } ?: return false
        return now - work.arrival > latencyTarget * SPENT_BEFORE_LEAVING_REGION
    }

    private fun chosen(
        name: String,
        overcommitted: Boolean,
    ): RoutingAnswer =
        RoutingAnswer.Chosen(
            name,
            overcommitted,
            state.copy(seed = random.nextLong(), rotation = (state.rotation + 1) % ROTATION_MODULUS),
        )

    private fun upstream(name: String): UpstreamState = state.upstreams.getValue(name)

    private companion object {
        /** A complete prefix match outweighs this much load per slot. */
        const val PREFIX_WEIGHT = 0.5

        /** Half of the latency target is left for the longer network path and the first token. */
        const val SPENT_BEFORE_LEAVING_REGION = 0.5
        const val ROTATION_MODULUS = 1 shl 20
    }
}
