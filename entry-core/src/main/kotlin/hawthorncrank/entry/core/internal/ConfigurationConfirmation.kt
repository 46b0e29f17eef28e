package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Measurement
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl

internal fun Reduction.confirmationTick() {
    if (settings.behaviour.confirmationLifetime == null || !state.controlLink.open) return
    val askedAt = state.confirmation.askedAt
    if (askedAt == null || leaseTime - askedAt >= CONFIRMATION_INTERVAL_MILLISECONDS) requestConfirmation()
}

internal fun Reduction.requestConfirmation() {
    if (settings.behaviour.confirmationLifetime == null) return
    state = state.copy(confirmation = state.confirmation.copy(askedAt = leaseTime))
    emit(EntryEffect.SendToControl(EntryToControl.ConfirmConfiguration(leaseTime, asksGroup = true)))
}

internal fun Reduction.configurationConfirmed(message: ControlToEntry.ConfigurationConfirmed) {
    if (isFromOtherGroup(message)) return
    updateFleetSize(message.entries)
    if (message.version != state.configuration.version) return
    val confirmedAt = maxOf(state.confirmation.confirmedAt ?: message.question, message.question)
    val group = message.group.takeIf { it.isNotEmpty() && state.configuration.inForce } ?: state.confirmation.group
    state = state.copy(confirmation = state.confirmation.copy(confirmedAt = confirmedAt, group = group))
}

/** The versions of another group say nothing about those of the group that the configuration in force came from. */
private fun Reduction.isFromOtherGroup(message: ControlToEntry.ConfigurationConfirmed): Boolean {
    val known = state.confirmation.group ?: return false
    if (message.group.isEmpty() || message.group == known) return false
    record(EntryDecisionEvent.OTHER_GROUP_IGNORED, "group" to message.group, "known" to known)
    return true
}

/**
 * Tells the router how many entries share the engines of this zone. Entries are distributed evenly over the zones.
 */
private fun Reduction.updateFleetSize(entries: Int) {
    if (entries == state.confirmation.entries || entries == 0) return
    state = state.copy(confirmation = state.confirmation.copy(entries = entries))
    val zones = maxOf(1, settings.regions.size)
    val router = state.router.setLiveEntries((entries + zones - 1) / zones)
    state = state.copy(router = router.setFleetEntries(entries))
}

internal val Reduction.confirmationValid: Boolean
    get() {
        val lifetime = settings.behaviour.confirmationLifetime ?: return true
        val confirmedAt = state.confirmation.confirmedAt ?: return false
        return leaseTime - confirmedAt <= lifetime
    }

internal val Reduction.confirmationAge: Long?
    get() = state.confirmation.confirmedAt?.let { leaseTime - it }

/** A version may have been accepted during the suspension, so the last confirmation ages by it. */
internal fun Reduction.machineSuspended(milliseconds: Long) {
    val confirmation = state.confirmation
    state = state.copy(confirmation = confirmation.copy(suspended = confirmation.suspended + milliseconds))
    record(EntryDecisionEvent.MACHINE_SUSPENDED, "milliseconds" to milliseconds)
    emit(EntryEffect.Measure(Measurement.Suspended))
    usageInterrupted()
    if (state.controlLink.open) requestConfirmation()
}

/** The time on which confirmations age. All other waits of an entry count only the time in which it ran. */
private val Reduction.leaseTime: Long
    get() = now + state.confirmation.suspended

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
