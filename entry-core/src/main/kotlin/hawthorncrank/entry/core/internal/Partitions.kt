package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.protocol.Upstream

/*
 * Whether this machine has lost its paths to the upstreams. Connections then hang, old ones too, and nothing but their
 * timeouts shows it, so all upstreams are probed as soon as one connection attempt times out while none is heard from.
 */

internal fun Reduction.heardFromUpstream() {
    val ended = state.partition.suspected
    state = state.copy(partition = PartitionState(heardAt = now))
    if (ended) record(EntryDecisionEvent.PARTITION_ENDED)
}

/** Excludes and probes all upstreams if none was heard from during a connection attempt that timed out. */
internal fun Reduction.suspectPartition(connectStartedAt: Long) {
    if (settings.relayAddress == null || now - connectStartedAt < CONNECT_TIMEOUT_MILLISECONDS) return
    val heardAt = state.partition.heardAt
    if (state.partition.suspected || heardAt != null && heardAt >= connectStartedAt) return
    state = state.copy(partition = state.partition.copy(suspected = true))
    record(EntryDecisionEvent.PARTITION_SUSPECTED, "heard_before" to heardAt?.let { now - it })
    state.configuration.effective.upstreams
        .filter(::isListed)
        .forEach { exclude(it.name, "no upstream is heard from", firstProbe = 0) }
}

/** Whether every upstream that serves the target is excluded because this entry could not reach it. */
internal fun Reduction.isCutOffFrom(target: RequestTarget): Boolean {
    val serving =
        state.configuration.effective.upstreams
            .filter { serves(it, target) && isListed(it) }
    return serving.isNotEmpty() && serving.all { state.membership.observed[it.name]?.excluded != null }
}

private fun Reduction.isListed(upstream: Upstream): Boolean =
    !isLeaving(upstream) && state.membership.live?.contains(upstream.name) != false
