package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl

internal fun Reduction.confirmationTick() {
    if (settings.behaviour.confirmationLifetime == null || !state.controlLink.open) return
    val askedAt = state.confirmation.askedAt
    if (askedAt == null || now - askedAt >= CONFIRMATION_INTERVAL_MILLISECONDS) requestConfirmation()
}

internal fun Reduction.requestConfirmation() {
    if (settings.behaviour.confirmationLifetime == null) return
    state = state.copy(confirmation = state.confirmation.copy(askedAt = now))
    emit(EntryEffect.SendToControl(EntryToControl.ConfirmConfiguration(now)))
}

internal fun Reduction.configurationConfirmed(message: ControlToEntry.ConfigurationConfirmed) {
    updateFleetSize(message.entries)
    if (message.version > state.configuration.version) return
    val confirmedAt = maxOf(state.confirmation.confirmedAt ?: message.question, message.question)
    state = state.copy(confirmation = state.confirmation.copy(confirmedAt = confirmedAt))
}

/** Entries are distributed evenly over the zones, and each uses its share of the engines in its zone. */
private fun Reduction.updateFleetSize(entries: Int) {
    if (entries == state.confirmation.entries || entries == 0) return
    state = state.copy(confirmation = state.confirmation.copy(entries = entries))
    val zones = maxOf(1, settings.regions.size)
    state = state.copy(router = state.router.setLiveEntries((entries + zones - 1) / zones))
}

internal val Reduction.confirmationValid: Boolean
    get() {
        val lifetime = settings.behaviour.confirmationLifetime ?: return true
        val confirmedAt = state.confirmation.confirmedAt ?: return false
        return now - confirmedAt <= lifetime
    }

/** Reports to the load balancer when the entry becomes ready or stops being ready. */
internal fun Reduction.reportReadiness() {
    if (settings.behaviour.confirmationLifetime == null || state.stop.requested) return
    val reason =
        when {
            !state.configuration.inForce -> "no configuration yet"
            state.membership.live == null -> "the platform's list has not arrived"
            !confirmationValid -> "the configuration is not confirmed to be the newest"
            else -> null
        }
    if ((reason == null) == state.reportedReady) return
    state = state.copy(reportedReady = reason == null)
    val text = reason ?: "configuration version ${state.configuration.version} is in force"
    emit(EntryEffect.ReadinessChanged(reason == null, text))
}

// Several confirmations fit into one lifetime, so that it survives one lost answer or a change of the leader.
private const val CONFIRMATION_INTERVAL_MILLISECONDS = 500L
