package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.Duty
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EngineClassDemand
import hawthorncrank.protocol.EntryToControl

/*
 * Collects the demand for engines of the linked entries and records its sum once a second, so that the holder of the duty
 * sees that of all entries, also right after a change of the holder.
 */

internal fun ControlStep.askForEngineDemand(link: Long) {
    if (ordersEngines()) send(link, ControlToEntry.EngineDemandWanted)
}

internal fun ControlStep.handleEngineDemand(
    link: Long,
    message: EntryToControl.EngineDemand,
) {
    if (!ordersEngines()) return
    updateDemand { it.copy(heard = it.heard.put(link, HeardDemand(now, message.classes))) }
}

internal fun ControlStep.engineDemandLinkClosed(link: Long) = updateDemand { it.copy(heard = it.heard.remove(link)) }

internal fun ControlStep.engineDemandTick() {
    if (!ordersEngines() || state.stopping) return
    val collection = state.engineDemand
    if (collection.heard.isEmpty() || now - (collection.proposedAt ?: 0) < RECORD_INTERVAL_MILLISECONDS) return
    if (state.pending.keys.any { it.startsWith(DEMAND_PREFIX) }) return
    val recent = collection.heard.values.filter { now - it.at <= HEARD_MILLISECONDS }
    if (recent.isEmpty()) return
    updateDemand { it.copy(proposedAt = now) }
    val self = state.replica.self.name
    val classes = summed(recent.flatMap { it.classes })
    proposeOwn("$DEMAND_PREFIX$self/$now", ControlOperation.RecordDemand(self, recent.size, classes))
}

internal fun summed(classes: List<EngineClassDemand>): List<EngineClassDemand> =
    classes
        .groupBy { Triple(it.service, it.targets, it.tier) }
        .values
        .map { same ->
            same.first().copy(
                prefillShare = same.sumOf { it.prefillShare },
                runningStreams = same.sumOf { it.runningStreams },
                waitingMilliseconds = same.sumOf { it.waitingMilliseconds },
            )
        }

private fun ControlStep.ordersEngines() = Duty.AUTOSCALE in state.dutyRules?.duties.orEmpty()

private fun ControlStep.updateDemand(change: (EngineDemandCollection) -> EngineDemandCollection) {
    state = state.copy(engineDemand = change(state.engineDemand))
}

private const val DEMAND_PREFIX = "engine-demand/"
private const val RECORD_INTERVAL_MILLISECONDS = 1_000L

// Entries report once a second.
private const val HEARD_MILLISECONDS = 2_500L
