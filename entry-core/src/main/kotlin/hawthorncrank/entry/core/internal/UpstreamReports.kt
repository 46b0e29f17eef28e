package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CacheChange
import hawthorncrank.entry.core.LoadReport
import hawthorncrank.protocol.ZoneMessage
import hawthorncrank.routing.UpstreamLoad
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Passes an upstream's load to the router. */
internal fun Reduction.loadReported(
    name: String,
    report: LoadReport,
) {
    if (upstream(name) == null) return
    val load =
        UpstreamLoad(report.sequence, report.running, report.queued, report.slots, report.tokenIntervalMilliseconds)
    state = state.copy(router = state.router.observeLoad(name, load, now))
}

internal fun Reduction.cacheChanged(
    name: String,
    change: CacheChange,
) {
    if (upstream(name) == null) return
    state = state.copy(router = state.router.observeCache(name, change.sequence, change.stored, change.evicted))
}

internal fun Reduction.configurationChanged() {
    refreshUpstreams()
    val configuration = state.configuration.effective
    configuration { it.copy(enginePriorities = enginePriorities(configuration)) }
    val routed = configuration.routeServices.map { it.name }
    val labels = configuration.upstreams.flatMap { it.models } + configuration.services.map { it.name } + routed
    state =
        state.copy(
            scheduler = state.scheduler.configure(configuration),
            router = state.router.configure(configuration),
            budget = state.budget.retain(labels.toSet()),
        )
    pruneMembership()
}

internal fun Reduction.upstreamsChanged() {
    refreshUpstreams()
    state = state.copy(router = state.router.configure(state.configuration.effective))
    pruneMembership()
}

/** Tells the router which upstreams may get new work. */
internal fun Reduction.updateEligibility() {
    if (state.membership === previousState.membership && state.configuration === previousState.configuration) return
    val changed =
        state.configuration.effective.upstreams
            .filter { mayGetWork(it) != state.router.view.isEligible(it.name) }
    changed.forEach { state = state.copy(router = state.router.setEligible(it.name, mayGetWork(it))) }
    warmUpReturned(changed.filter(::mayGetWork))
}

/** When each neighbour last sent a message. For a time after [since], every configured neighbour counts as live. */
internal data class ZoneState(
    val since: Long? = null,
    val lastMessageAt: PersistentMap<String, Long> = persistentMapOf(),
    val liveEntries: Int,
)

internal fun Reduction.updateLastMessage(message: ZoneMessage) {
    if (message.entry == settings.name || message.entry !in settings.zoneEntries) return
    state = state.copy(zone = state.zone.copy(lastMessageAt = state.zone.lastMessageAt.put(message.entry, now)))
}

internal fun Reduction.zoneTick() {
    val zone = state.zone.copy(since = state.zone.since ?: now)
    val observedLongEnough = now - (zone.since ?: now) >= NEIGHBOUR_TIMEOUT_MILLISECONDS
    val observed = zone.lastMessageAt.values.count { now - it < NEIGHBOUR_TIMEOUT_MILLISECONDS } + 1
    val live = if (observedLongEnough) observed else settings.zoneEntries.size
    state = state.copy(zone = zone.copy(liveEntries = live))
    if (live != zone.liveEntries) state = state.copy(router = state.router.setLiveEntries(live))
}

// Neighbours repeat their notices every 5 s, and two may be lost before a neighbour counts as down.
private const val NEIGHBOUR_TIMEOUT_MILLISECONDS = 12_000L
