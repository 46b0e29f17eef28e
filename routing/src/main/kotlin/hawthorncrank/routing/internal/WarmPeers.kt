package hawthorncrank.routing.internal

import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.WorkTarget
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * How long this entry's recent requests took on upstreams that are warm: the milliseconds to the first token by target and
 * class, and those between tokens by target. The comparison with the same work at the same time includes the load that all
 * upstreams have now.
 */
internal data class WarmPeers(
    private val firstTokens: PersistentMap<KindOfWork, RecentMean> = persistentHashMapOf(),
    private val paces: PersistentMap<WorkTarget, RecentMean> = persistentHashMapOf(),
) {
    fun firstToken(
        work: QueuedWork,
        now: Long,
    ): Double? = firstTokens[KindOfWork.of(work)]?.value(now)

    fun pace(
        target: WorkTarget,
        now: Long,
    ): Double? = paces[target]?.value(now)

    fun observeFirstToken(
        work: QueuedWork,
        milliseconds: Long,
        now: Long,
    ): WarmPeers {
        val kind = KindOfWork.of(work)
        val mean = firstTokens[kind] ?: RecentMean()
        return copy(firstTokens = firstTokens.put(kind, mean.plus(milliseconds.toDouble(), now)))
    }

    fun observePace(
        target: WorkTarget,
        milliseconds: Double,
        now: Long,
    ): WarmPeers = copy(paces = paces.put(target, (paces[target] ?: RecentMean()).plus(milliseconds, now)))

    /** Forgets classes and targets that are no longer configured. */
    fun retain(
        classes: Set<String>,
        targets: Set<WorkTarget>,
    ): WarmPeers {
        val oldKinds = firstTokens.keys.filter { it.className !in classes || it.target !in targets }
        return WarmPeers(
            oldKinds.fold(firstTokens) { map, kind -> map.remove(kind) },
            (paces.keys - targets).fold(paces) { map, target -> map.remove(target) },
        )
    }
}

/** Requests of one class to one target, which take about the same time on equal upstreams. */
internal data class KindOfWork(
    val target: WorkTarget,
    val className: String,
) {
    companion object {
        fun of(work: QueuedWork) = KindOfWork(work.target, work.className)
    }
}
