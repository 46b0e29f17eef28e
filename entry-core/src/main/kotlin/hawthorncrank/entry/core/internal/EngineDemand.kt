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
    if (!state.engineDemand.wanted) return
    val demandClass = demandClass(active.request, scaledServices()) ?: return
    val tokens = state.router.view.prefillTokens(active.number)
    val counted = state.engineDemand.prefillTokens
    val next = counted.put(demandClass, (counted[demandClass] ?: 0) + tokens)
    state = state.copy(engineDemand = state.engineDemand.copy(prefillTokens = next))
}

internal fun Reduction.engineDemandWanted() {
    state = state.copy(engineDemand = EngineDemandState(wanted = true, sentAt = now))
}

/** The replica of the new link may not want reports. */
internal fun Reduction.engineDemandLinkOpened() {
    state = state.copy(engineDemand = EngineDemandState())
}

internal fun Reduction.engineDemandTick() {
    val elapsed = now - state.engineDemand.sentAt
    if (!state.engineDemand.wanted || elapsed < REPORT_INTERVAL_MILLISECONDS) return
    val services = scaledServices()
    val classes = demands(services, elapsed)
    state = state.copy(engineDemand = EngineDemandState(wanted = true, sentAt = now))
    if (services.isEmpty() || !state.controlLink.open) return
    emit(EntryEffect.SendToControl(EntryToControl.EngineDemand(classes)))
}

private fun Reduction.demands(
    services: Set<String>,
    elapsed: Long,
): List<EngineClassDemand> {
    val running = HashMap<DemandClass, Int>()
    val waiting = HashMap<DemandClass, Long>()
    state.requests.active.values.forEach { active ->
        val demandClass = demandClass(active.request, services) ?: return@forEach
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

private fun Reduction.demandClass(
    request: CallerRequest,
    services: Set<String>,
): DemandClass? {
    val model = (request.target as? RequestTarget.Model)?.model ?: return null
    if (model !in services) return null
    val trafficClass = trafficClass(request)
    return DemandClass(
        model,
        trafficClass?.firstToken?.value,
        trafficClass?.betweenTokens?.value,
        request.routeTier ?: trafficClass?.tier ?: return null,
    )
}

private fun Reduction.scaledServices(): Set<String> =
    state.configuration.effective.routeServices
        .filter { it.scaling != null }
        .mapTo(HashSet()) { it.name }

private const val REPORT_INTERVAL_MILLISECONDS = 1_000L
