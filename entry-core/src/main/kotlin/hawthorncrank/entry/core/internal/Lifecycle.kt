package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.protocol.Configuration
import kotlinx.collections.immutable.toPersistentSet

internal fun Reduction.applyConfiguration(
    version: Long,
    configuration: Configuration,
) {
    if (version <= state.configuration.version) return
    val first = state.configuration.version == 0L
    state = state.copy(configuration = ConfigurationState(version, configuration))
    emit(EntryEffect.ConfigurationApplied(version, configuration))
    if (first && !state.stopping) emit(EntryEffect.ReadinessChanged(true, "configuration $version is in force"))
}

internal fun Reduction.membershipReported(
    live: Set<String>,
    leaving: Set<String>,
) {
    state = state.copy(membership = MembershipState(live.toPersistentSet(), leaving.toPersistentSet()))
}

internal fun Reduction.stopRequested() {
    if (state.stopping) return
    state = state.copy(stopping = true)
    emit(EntryEffect.ReadinessChanged(false, "the entry is stopping"))
}

internal fun Reduction.terminateWhenEmpty() {
    val empty = state.requests.active.isEmpty() && state.attempts.running.isEmpty()
    if (!state.stopping || state.terminated || !empty) return
    state = state.copy(terminated = true)
    emit(EntryEffect.Terminate)
}
