package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.protocol.Upstream

/**
 * An upstream that rejects a request may ask for no other one for a time. The load that this answers: upstreams at their
 * limits, which every entry with queued requests would ask again at once, so that the rejections themselves keep them busy.
 * Until that time has passed the upstream gets nothing, and no probes either. Requests go to others or wait.
 */
internal fun Reduction.holdOff(
    name: String,
    end: AttemptEnd.Rejected,
) {
    val asked = end.retryAfterMilliseconds ?: return
    val address = upstream(name)?.address ?: return
    if (!end.concernsUpstream || asked <= 0) return
    val observation = state.membership.observed[name] ?: Observation()
    val known = observation.held?.takeIf { it.address == address && it.until > now }
    val until = maxOf(known?.until ?: 0, now + asked)
    observe(name, observation.copy(held = Hold(address, until)))
    if (known == null) record(EntryDecisionEvent.UPSTREAM_HELD_OFF, "upstream" to name, "milliseconds" to asked)
}

/** Whether the upstream asked for no requests yet. Another start of it at another address has not asked. */
internal fun Reduction.isHeld(
    upstream: Upstream,
    observation: Observation,
): Boolean = observation.held?.let { it.address == upstream.address && it.until > now } == true

internal fun Reduction.releaseHolds() =
    state.membership.observed
        .filterValues { observation -> observation.held?.let { it.until <= now } == true }
        .forEach { (name, observation) -> observe(name, observation.copy(held = null)) }

/**
 * Refuses requests for which all usable upstreams are held off for longer than they can wait. They are told when the first
 * of these upstreams takes requests again, instead of learning it from a rejection close to their deadline.
 */
internal fun Reduction.refuseQueuedBehindHolds() {
    if (state.membership.observed.values
            .none { it.held != null }
    ) {
        return
    }
    state.requests.active.values
        .filter { it.phase == RequestPhase.Queued }
        .groupBy { it.request.target }
        .forEach { (target, queued) ->
            val wait = shortestHold(target) ?: return@forEach
            queued.filter { wait > timeToWait(it) }.forEach { refuse(it, Refusal.Overloaded(wait)) }
        }
}

/** How long all upstreams of the target that could serve it are held off; null if one of them is not. */
private fun Reduction.shortestHold(target: RequestTarget): Long? {
    val usable =
        state.configuration.effective.upstreams
            .filter { serves(it, target) && !isLeaving(it) }
            .filter { upstream -> state.membership.observed[upstream.name]?.let { isReachable(upstream, it) } != false }
    val holds = usable.map { upstream -> heldUntil(upstream) ?: return null }
    return holds.minOrNull()?.let { it - now }
}

private fun Reduction.heldUntil(upstream: Upstream): Long? {
    val observation = state.membership.observed[upstream.name] ?: return null
    return observation.held?.until?.takeIf { isHeld(upstream, observation) }
}

/** A request whose answer would begin after its latency target is better sent to another entry or later. */
private fun Reduction.timeToWait(active: ActiveRequest): Long {
    val target = trafficClass(active.request)?.firstToken?.value
    val untilTarget = target?.let { active.arrivedAt + it - now } ?: Long.MAX_VALUE
    val untilDeadline = active.request.finishBy?.let { (it - now) / 2 } ?: Long.MAX_VALUE
    return minOf(untilTarget, untilDeadline).coerceAtLeast(0)
}
