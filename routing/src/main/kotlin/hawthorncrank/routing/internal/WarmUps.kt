package hawthorncrank.routing.internal

import hawthorncrank.routing.WarmUpSettings
import hawthorncrank.scheduling.WorkTarget
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * The upstreams that warm up, and what is known of warm ones. Without [settings] no upstream ever warms up and nothing is
 * recorded. [entries] is the number of the fleet's entries, 0 if unknown.
 */
internal data class WarmUps(
    private val settings: WarmUpSettings? = null,
    private val entries: Int = 0,
    private val running: PersistentMap<String, WarmUp> = persistentHashMapOf(),
    private val peers: WarmPeers = WarmPeers(),
) {
    fun setEntries(count: Int): WarmUps = copy(entries = count)

    /**
     * Work of this entry that goes on at the upstream neither waits for the entry's turn nor exceeds the bound. If the warm-up
     * before has not ended, its reduced bound remains and the entries join more slowly.
     */
    fun begin(
        upstream: String,
        inProgress: Int,
        entriesOfZone: Int,
        now: Long,
    ): WarmUps {
        val entry = settings?.entry ?: return this
        val earlier = running[upstream]?.takeUnless { it.isOver(now) }
        val bound = minOf(1.0, earlier?.bound ?: 1.0)
        val delay = joinDelay(entry, upstream, maxOf(entries, entriesOfZone)) / maxOf(bound, SLOWEST_JOIN)
        val begun =
            if (inProgress > 0) {
                WarmUp(now, joinDelay = 0, inProgress.toDouble())
            } else {
                WarmUp(now, delay.toLong(), bound)
            }
        return copy(running = running.put(upstream, begun))
    }

    /** Whether this entry may have one more request in progress at the upstream, of whose target a [warmShare] is warm. */
    fun hasRoom(
        upstream: String,
        inProgress: Int,
        warmShare: Double,
        now: Long,
    ): Boolean = running[upstream]?.takeUnless { it.isOver(now) }?.hasRoom(inProgress, warmShare, now) ?: true

    fun isWarming(
        upstream: String,
        now: Long,
    ): Boolean = running[upstream]?.isOver(now) == false

    fun warming(now: Long): Set<String> = running.filterValues { !it.isOver(now) }.keys

    /**
     * Records that the answer to an attempt began. An upstream that has not read the attempt's prompt before is given the
     * time to read it as a whole.
     */
    fun firstToken(
        attempt: RunningAttempt,
        speed: PrefillSpeed,
        inProgress: Int,
        share: Double,
        now: Long,
    ): WarmUps {
        if (settings == null) return this
        val work = attempt.attempt.work
        val elapsed = now - attempt.startedAt
        val upstream = attempt.attempt.upstream
        val warmUp = running[upstream] ?: return copy(peers = peers.observeFirstToken(work, elapsed, now))
        val part = work.prefixBlocks.getOrNull(maxOf(0, work.prefixBlocks.size - 2))
        val reading = if (warmUp.isUnread(part)) speed.millisecondsFor(work.promptTokens) else 0.0
        val expected = peers.firstToken(work, now)?.plus(reading)
        val observed = warmUp.read(part).answered(elapsed, ratio(elapsed.toDouble(), expected), inProgress, now)
        return with(upstream, observed, share, now)
    }

    /** Records the [pace] of this entry's streams at an upstream, in milliseconds for each token, over [elapsed]. */
    fun paced(
        upstream: String,
        target: WorkTarget,
        pace: Double,
        elapsed: Long,
        now: Long,
    ): WarmUps {
        if (settings == null) return this
        val warmUp = running[upstream] ?: return copy(peers = peers.observePace(target, pace, now))
        val observed = warmUp.paced(elapsed, ratio(pace, peers.pace(target, now)), now)
        return if (observed === warmUp) this else copy(running = running.put(upstream, observed))
    }

    fun failed(
        attempt: RunningAttempt,
        now: Long,
    ): WarmUps {
        val warmUp = running[attempt.attempt.upstream] ?: return this
        return copy(running = running.put(attempt.attempt.upstream, warmUp.failed(now - attempt.startedAt, now)))
    }

    fun retain(
        upstreams: Set<String>,
        classes: Set<String>,
        targets: Set<WorkTarget>,
    ): WarmUps {
        if (settings == null) return this
        val left = (running.keys - upstreams).fold(running) { map, name -> map.remove(name) }
        return copy(running = left, peers = peers.retain(classes, targets))
    }

    /** Removes the warm-ups that are over, so that times on these upstreams count as those of warm ones. */
    fun prune(now: Long): WarmUps {
        val over = running.filterValues { it.isOver(now) }.keys
        return if (over.isEmpty()) this else copy(running = over.fold(running) { map, name -> map.remove(name) })
    }

    private fun with(
        upstream: String,
        warmUp: WarmUp,
        share: Double,
        now: Long,
    ): WarmUps =
        copy(running = if (warmUp.isWarm(share, now)) running.remove(upstream) else running.put(upstream, warmUp))

    /** Without warm peers nothing shows that an answer is slow. */
    private fun ratio(
        milliseconds: Double,
        expected: Double?,
    ): Double = if (expected == null) 1.0 else milliseconds / expected.coerceAtLeast(1.0)

    private companion object {
        /** An upstream that failed again gets its first requests over twice the usual time. */
        const val SLOWEST_JOIN = 0.5
    }
}
