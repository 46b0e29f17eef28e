package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.protocol.EngineClassDemand
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.scheduling.WorkTarget

/*
 * Reports the demand for engines to control, for services whose number of engines can be changed. The demand is what
 * callers ask for: prompts that were started, streams that run, and prompts that wait.
 */

/** Counts the tokens that the engine of a started attempt has to prefill. */
internal fun Reduction.countEngineDemand(active: ActiveRequest) {
    val demandClass = demandClass(active.request) ?: return
    val tokens = state.router.view.prefillTokens(active.number)
    val counted = state.engineDemand.prefillTokens
    val next = counted.put(demandClass, (counted[demandClass] ?: 0) + tokens)
    state = state.copy(engineDemand = state.engineDemand.copy(prefillTokens = next))
}

internal fun Reduction.engineDemandTick() {
    if (scaledServices().isEmpty()) return
    val sentAt = state.engineDemand.sentAt
    if (sentAt == null) {
        state = state.copy(engineDemand = EngineDemandState(sentAt = now))
        return
    }
    val elapsed = now - sentAt
    if (elapsed < REPORT_INTERVAL_MILLISECONDS) return
    val classes = demands(elapsed)
    state = state.copy(engineDemand = EngineDemandState(sentAt = now))
    if (state.controlLink.open) emit(EntryEffect.SendToControl(EntryToControl.EngineDemand(classes)))
}

private fun Reduction.demands(elapsed: Long): List<EngineClassDemand> {
    val running = HashMap<DemandClass, Int>()
    val waiting = HashMap<DemandClass, Long>()
    state.requests.active.values.forEach { active ->
        val demandClass = demandClass(active.request) ?: return@forEach
        when (active.phase) {
            is RequestPhase.Running -> running.merge(demandClass, 1, Int::plus)
            RequestPhase.Queued -> waiting.merge(demandClass, ownTokens(active.request), Long::plus)
            else -> Unit
        }
    }
    val started = state.engineDemand.prefillTokens
    return (started.keys + running.keys + waiting.keys).map { demandClass ->
        val speed = state.router.view.prefillSpeed(WorkTarget.Model(demandClass.service))
        EngineClassDemand(
            service = demandClass.service,
            targets = "${demandClass.firstToken}-${demandClass.betweenTokens}",
            tier = demandClass.tier,
            firstToken = demandClass.firstToken,
            prefillShare = (started[demandClass] ?: 0) / speed / elapsed,
            runningStreams = running[demandClass] ?: 0,
            waitingMilliseconds = (waiting[demandClass] ?: 0) / speed,
        )
    }
}

/** The shared parts of a prompt are usually cached where it will run. */
private fun ownTokens(request: CallerRequest): Long {
    val model = request.target as? RequestTarget.Model ?: return 0
    return (model.promptTokens - model.sharedTokens).coerceAtLeast(0).toLong()
}

private fun Reduction.demandClass(request: CallerRequest): DemandClass? {
    val model = (request.target as? RequestTarget.Model)?.model ?: return null
    if (model !in scaledServices()) return null
    val trafficClass = trafficClass(request)
    return DemandClass(
        model,
        trafficClass?.firstToken?.value,
        trafficClass?.betweenTokens?.value,
        request.routeTier ?: trafficClass?.tier ?: return null,
    )
}

private fun Reduction.scaledServices(): List<String> =
    state.configuration.effective.routeServices
        .filter { it.scaling != null }
        .map { it.name }

private const val REPORT_INTERVAL_MILLISECONDS = 1_000L
