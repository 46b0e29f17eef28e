package hawthorncrank.entry.core

import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.Conviction
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.canonical
import hawthorncrank.protocol.configurationDelta

/**
 * A simulated control group with one linear history. Without [majority] it answers some claim requests with
 * Unavailable, and decides all of them when the majority is back, so that grants arrive late. It does not remember
 * abandoned attempts, so a late claim request for one of them succeeds.
 */
internal class FakeControl(
    private val simulation: Simulation,
    private val fleet: Fleet,
    first: Configuration,
) {
    var version = 1L
        private set
    var configuration = first.canonical()
        private set
    private val holders = mutableMapOf<ClaimKey, Holder>()
    private val convictions = mutableMapOf<String, Conviction>()
    private val postponed = mutableListOf<() -> Unit>()
    private var lastClaim = 0L
    private var revision = 0L
    var majority = true
        set(value) {
            field = value
            if (value) postponed.toList().also { postponed.clear() }.forEach { it() }
        }

    fun commit(change: (Configuration) -> Configuration) =
        whenCommitted {
            val base = configuration
            configuration = change(base).canonical()
            val delta = configurationDelta(version, base, ++version, configuration)
            fleet.entries.forEach { it.fromControl(ControlToEntry.ConfigurationChange(delta, confirmed = false)) }
            simulation.after(60) {
                val confirmed = ControlToEntry.ConfigurationChange(delta, confirmed = true)
                if (majority && version == delta.version) fleet.entries.forEach { it.fromControl(confirmed) }
            }
        }

    private fun whenCommitted(action: () -> Unit) {
        if (majority) action() else postponed.add(action)
    }

    private fun currentConfiguration() =
        ControlToEntry.ConfigurationUpdate(version, configuration, confirmed = majority)

    fun linkOpened(entry: EntryNode) {
        entry.fromControl(ControlToEntry.ConvictionUpdate(revision, convictions.values.toList()))
    }

    fun receive(
        entry: EntryNode,
        message: EntryToControl,
    ) {
        when (message) {
            is EntryToControl.ClaimRequest -> {
                val unavailable =
                    ControlToEntry.ClaimAnswer(
                        message.key,
                        message.attemptIdentifier,
                        ClaimDecision.Unavailable,
                    )
                if (!majority && simulation.chance(50)) simulation.after(1_000) { entry.fromControl(unavailable) }
                whenCommitted {
                    entry.fromControl(
                        ControlToEntry.ClaimAnswer(message.key, message.attemptIdentifier, decide(message)),
                    )
                }
            }

            is EntryToControl.OutcomeRecord ->
                whenCommitted {
                    val holder = holders[message.key]
                    if (holder?.number == message.claimNumber &&
                        holder.outcome == null
                    ) {
                        holder.outcome = message.outcome
                    }
                    entry.fromControl(ControlToEntry.OutcomeRecorded(message.key, message.claimNumber))
                }

            is EntryToControl.ClaimAbandon ->
                whenCommitted {
                    val holder = holders[message.key]
                    if (holder?.attempt == message.attemptIdentifier &&
                        holder.outcome == null
                    ) {
                        holders.remove(message.key)
                    }
                    entry.fromControl(ControlToEntry.ClaimAbandoned(message.key, message.attemptIdentifier))
                }

            is EntryToControl.SuspectReport -> if (message.convicted) whenCommitted { convict(message) }

            is EntryToControl.EntryHello -> entry.fromControl(currentConfiguration())

            else -> Unit
        }
    }

    private fun convict(report: EntryToControl.SuspectReport) {
        if (report.contentDigest in convictions) return
        convictions[report.contentDigest] = Conviction(report.contentDigest, report.crashes, 3_600_000)
        revision++
        fleet.entries.forEach {
            it.fromControl(ControlToEntry.ConvictionUpdate(revision, convictions.values.toList()))
        }
    }

    private fun decide(request: EntryToControl.ClaimRequest): ClaimDecision {
        val holder = holders[request.key]
        val outcome = holder?.outcome
        return when {
            holder == null -> {
                val granted = Holder(request.attemptIdentifier, request.entry, request.requestDigest, ++lastClaim)
                holders[request.key] = granted
                ClaimDecision.Granted(granted.number)
            }
            holder.attempt == request.attemptIdentifier -> ClaimDecision.Granted(holder.number)
            holder.digest != request.requestDigest -> ClaimDecision.DigestMismatch
            outcome is CallOutcome.Answered -> ClaimDecision.Finished(outcome)
            outcome == CallOutcome.Unknown -> ClaimDecision.OutcomeUnknown(holder.number)
            else -> ClaimDecision.HeldByOther(holder.entry, holder.number)
        }
    }

    private class Holder(
        val attempt: String,
        val entry: String,
        val digest: String,
        val number: Long,
        var outcome: CallOutcome? = null,
    )
}
