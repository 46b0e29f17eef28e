package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl

internal fun Reduction.proofTick() {
    if (settings.behaviour.confirmationLifetime == null || !state.controlLink.open) return
    val askedAt = state.proof.askedAt
    if (askedAt == null || now - askedAt >= PROOF_INTERVAL_MILLISECONDS) askForProof()
}

internal fun Reduction.askForProof() {
    if (settings.behaviour.confirmationLifetime == null) return
    state = state.copy(proof = state.proof.copy(askedAt = now))
    emit(EntryEffect.SendToControl(EntryToControl.ConfirmConfiguration(now)))
}

internal fun Reduction.configurationConfirmed(message: ControlToEntry.ConfigurationConfirmed) {
    fleetSeen(message.entries)
    if (message.version > state.configuration.version) return
    val provedAt = maxOf(state.proof.provedAt ?: message.question, message.question)
    state = state.copy(proof = state.proof.copy(provedAt = provedAt))
}

/** Entries stand evenly over the zones; each owns its part of the engines there. */
private fun Reduction.fleetSeen(entries: Int) {
    if (entries == state.proof.entries || entries == 0) return
    state = state.copy(proof = state.proof.copy(entries = entries))
    val zones = maxOf(1, settings.regions.size)
    state = state.copy(router = state.router.setLiveEntries((entries + zones - 1) / zones))
}

internal val Reduction.proofHolds: Boolean
    get() {
        val lifetime = settings.behaviour.confirmationLifetime ?: return true
        val provedAt = state.proof.provedAt ?: return false
        return now - provedAt <= lifetime
    }

/** Tells the load balancer when the entry begins or ceases to be able to serve. */
internal fun Reduction.showReadiness() {
    if (settings.behaviour.confirmationLifetime == null || state.stop.requested) return
    val reason =
        when {
            !state.configuration.inForce -> "no configuration yet"
            state.membership.live == null -> "the platform's list has not arrived"
            !proofHolds -> "the configuration is not proved to be the newest"
            else -> null
        }
    if ((reason == null) == state.readyShown) return
    state = state.copy(readyShown = reason == null)
    val text = reason ?: "configuration version ${state.configuration.version} is in force"
    emit(EntryEffect.ReadinessChanged(reason == null, text))
}

// Several proofs fit into a lifetime, so that one lost answer or a change of the leader does not end it.
private const val PROOF_INTERVAL_MILLISECONDS = 500L
