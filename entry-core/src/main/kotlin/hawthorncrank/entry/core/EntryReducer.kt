package hawthorncrank.entry.core

import hawthorncrank.common.Reducer
import hawthorncrank.common.Transition
import hawthorncrank.entry.core.internal.EntryRules
import hawthorncrank.entry.core.internal.Reduction
import hawthorncrank.entry.core.internal.ZoneState
import hawthorncrank.entry.core.internal.dispatch
import hawthorncrank.protocol.Configuration
import hawthorncrank.routing.RouterLocation
import hawthorncrank.routing.WarmUpSettings
import hawthorncrank.routing.router
import hawthorncrank.scheduling.scheduler

/**
 * Creates the reducer that makes the decisions of an entry. The process passes it every event in arrival order and
 * executes the effects of each transition in order.
 */
fun entryReducer(settings: EntrySettings): Reducer<EntryState, EntryEvent, EntryEffect> =
    entryReducer(settings, EntryRules())

internal fun entryReducer(
    settings: EntrySettings,
    rules: EntryRules,
): Reducer<EntryState, EntryEvent, EntryEffect> =
    Reducer { state, event, now ->
        val reduction = Reduction(state, now, settings, rules)
        reduction.dispatch(event)
        Transition(reduction.state, reduction.effects())
    }

/** The state of an entry that has just started: no configuration, no requests, not ready. */
fun initialEntryState(settings: EntrySettings): EntryState {
    require(settings.name in settings.zoneEntries) { "zoneEntries must include this entry's own name" }
    val empty = Configuration()
    val location = RouterLocation(settings.availabilityZone, settings.region)
    val entries = settings.zoneEntries.size
    val warmUp = if (settings.behaviour.warmUp) WarmUpSettings(settings.name) else null
    return EntryState(
        scheduler = scheduler(empty, settings.behaviour.scheduling),
        router = router(empty, location, entries, settings.randomSeed, settings.behaviour.routing, warmUp),
        zone = ZoneState(liveEntries = entries),
    )
}
