package hawthorncrank.routing.internal

import hawthorncrank.routing.ChoiceRule
import hawthorncrank.routing.RoutedAttempt
import hawthorncrank.routing.RoutingQuestion

/** Where the router's own state and events meet those of the warm-ups. */
internal fun RouterState.warmUpBegun(
    upstream: String,
    now: Long,
): RouterState {
    val state = upstreams[upstream] ?: return this
    return copy(warmUps = warmUps.begin(upstream, state.ownAttempts, liveEntries, now))
}

/** A slow spell has ended once the upstream gets its full share of work again. */
internal fun RouterState.warmUpAfterSlowSpell(
    before: UpstreamState,
    now: Long,
): RouterState {
    val after = upstreams[before.settings.name] ?: return this
    return if (speedFactor(before) < 1 && speedFactor(after) >= 1) warmUpBegun(before.settings.name, now) else this
}

internal fun RouterState.firstTokenObserved(
    running: RunningAttempt,
    now: Long,
): RouterState {
    val state = upstreams[running.attempt.upstream] ?: return this
    val target = running.attempt.work.target
    val share = share(state, nearestDistance(target), now)
    val speed = (loads[target] ?: TargetLoad()).speed
    return copy(warmUps = warmUps.prune(now).firstToken(running, speed, state.ownAttempts, share, now))
}

internal fun RouterState.paceObserved(
    attempt: RoutedAttempt,
    pace: Double?,
    elapsed: Long,
    now: Long,
): RouterState =
    if (pace == null) this else copy(warmUps = warmUps.paced(attempt.upstream, attempt.work.target, pace, elapsed, now))

internal fun RouterState.retainWarmUps(): RouterState =
    copy(warmUps = warmUps.retain(upstreams.keys, classes.keys, candidates.keys))

/**
 * Whether work may exceed the bounds of warm-ups: no warm upstream could take it, or it has waited half of its time, so
 * that the bound is never the reason why rule R6 refuses it.
 */
internal fun RouterState.mayExceedWarmUp(
    question: RoutingQuestion,
    now: Long,
): Boolean {
    val work = question.work
    val usable = usableFor(question)
    val warming = usable.count { warmUps.isWarming(it, now) }
    if (warming == 0) return false
    val longestWait =
        work.finishBy?.let { (it - work.arrival) / PARTS_OF_TIME } ?: classes[work.className]?.firstToken?.value
    return warming == usable.size || longestWait != null && now - work.arrival >= longestWait
}

/** The share of the upstreams of the question that are warm. */
internal fun RouterState.warmShare(
    question: RoutingQuestion,
    now: Long,
): Double =
    usableFor(question).let { usable ->
        usable.count { !warmUps.isWarming(it, now) } /
            maxOf(1.0, usable.size.toDouble())
    }

private fun RouterState.usableFor(question: RoutingQuestion): List<String> {
    val all = candidates[question.work.target] ?: return emptyList()
    val near = all.at(Distance.ZONE) + all.at(Distance.REGION)
    val considered = if (policy.choice == ChoiceRule.LEAST_DELAY || near.isEmpty()) all.all else near
    return considered.filterNot { it in question.constraint.excluded }
}

private const val PARTS_OF_TIME = 2
