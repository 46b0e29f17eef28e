package hawthorncrank.control.internal

import hawthorncrank.capacity.EngineReport
import hawthorncrank.capacity.EngineSpeeds
import hawthorncrank.capacity.slowEngines
import hawthorncrank.consensus.ReplicaRole
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.protocol.ListedUpstream
import kotlinx.collections.immutable.toPersistentMap

/*
 * The leader reads the reports of all engines and finds those that are slower than others. The decision is replicated, and
 * entries get it with the list of upstreams. Without a leader, or without reports, the last decision stays in force.
 */

internal fun ControlStep.readEngineReports() {
    val readings = state.engineReadings ?: return
    if (state.stopping || state.replica.role != ReplicaRole.LEADER) {
        if (readings.schedules.isNotEmpty()) state = state.copy(engineReadings = EngineReadings())
        return
    }
    state = state.copy(upstreamList = state.upstreamList.copy(wantedAt = now))
    val engines = readableEngines()
    forgetMissing(engines)
    val waiting =
        state.engineReadings
            ?.schedules
            .orEmpty()
            .values
            .count { it.askedAt != null }
    engines
        .filter { isDue(it.name) }
        .take(maxOf(0, LARGEST_NUMBER_AT_ONCE - waiting))
        .forEach { engine ->
            schedule(engine.name) { it.copy(askedAt = now) }
            emit(ControlEffect.ReadEngineReport(engine.name, engine.address, now))
        }
}

internal fun ControlStep.engineReported(event: ControlEvent.EngineReported) {
    val readings = state.engineReadings ?: return
    if (readings.schedules[event.engine]?.askedAt != event.askedAt) return
    val streams = event.streams
    if (streams == null) {
        schedule(event.engine) { failed(it) }
        return
    }
    val service =
        state.upstreamList.upstreams
            .find { it.name == event.engine }
            ?.service ?: return
    val speeds = (readings.speeds[service] ?: EngineSpeeds()).reported(event.engine, EngineReport(now, streams))
    state = state.copy(engineReadings = readings.copy(speeds = readings.speeds.put(service, speeds), changed = true))
    schedule(event.engine) { known ->
        val counted = if (streams.isEmpty()) known.readings else known.readings + 1
        ReadingSchedule(now + interval(event.engine, counted, streams.isEmpty(), speeds), readings = counted)
    }
}

/** Compares the engines of each service, and proposes the decision if it changed. */
internal fun ControlStep.recordSlowEngines() {
    val readings = state.engineReadings?.takeIf { it.changed } ?: return
    if (SLOW_ENGINES_IDENTIFIER in state.pending) return
    val estimated = readings.speeds.values.fold(emptyMap<String, Double>()) { all, speeds -> all + speeds.slowdowns() }
    state = state.copy(engineReadings = readings.copy(changed = false, compared = estimated.keys))
    val listed = readableEngines().mapTo(HashSet()) { it.name }
    val before = state.control.slowEngines
    val decided = slowEngines(estimated, before.filterKeys { it in listed })
    if (decided == before) return
    record(ControlEventCode.SLOW_ENGINES, "slow" to decided.toSortedMap(), "before" to before.toSortedMap())
    proposeOwn(SLOW_ENGINES_IDENTIFIER, ControlOperation.RecordSlowEngines(decided))
}

internal fun ControlState.recordSlowEngines(operation: ControlOperation.RecordSlowEngines): ControlState =
    copy(slowEngines = operation.slowdowns.toSortedMap().toPersistentMap())

private fun ControlStep.readableEngines(): List<ListedUpstream> {
    val services =
        state.control.configuration.routeServices
            .filter { it.servesModels }
            .mapTo(HashSet()) { it.name }
    return state.upstreamList.upstreams.filter { it.service in services && !it.leaving }
}

private fun ControlStep.forgetMissing(engines: List<ListedUpstream>) {
    val readings = state.engineReadings ?: return
    val names = engines.mapTo(HashSet()) { it.name }
    if (readings.schedules.keys.all { it in names }) return
    val speeds = readings.speeds.mapValues { (_, ofService) -> ofService.retain(names) }
    val schedules = readings.schedules.filterKeys { it in names }
    state =
        state.copy(
            engineReadings =
                readings.copy(
                    speeds = speeds.toPersistentMap(),
                    schedules = schedules.toPersistentMap(),
                    changed = true,
                ),
        )
}

private fun ControlStep.isDue(engine: String): Boolean {
    val schedule = state.engineReadings?.schedules?.get(engine) ?: return true
    val asked = schedule.askedAt
    return if (asked == null) now >= schedule.nextAt else now - asked >= LOST_READING_MILLISECONDS
}

/**
 * Engines that are slow or not known yet are read all the time. Of the others, two reports in a row are read now and then,
 * so that the cost of reading stays small.
 */
private fun ControlStep.interval(
    engine: String,
    readings: Int,
    idle: Boolean,
    speeds: EngineSpeeds,
): Long {
    val isSlow = engine in state.control.slowEngines
    val isKnown = speeds.isKnown(engine) && engine in state.engineReadings?.compared.orEmpty()
    val learning = isSlow || !isKnown && readings < LEARNING_READINGS
    return when {
        !learning && readings % 2 != 0 -> PAUSE_MILLISECONDS
        idle -> IDLE_INTERVAL_MILLISECONDS
        else -> READING_INTERVAL_MILLISECONDS
    }
}

private fun failed(schedule: ReadingSchedule): ReadingSchedule {
    val failures = schedule.failures + 1
    val pause = READING_INTERVAL_MILLISECONDS shl failures.coerceAtMost(LARGEST_DOUBLINGS)
    return ReadingSchedule((schedule.askedAt ?: 0) + pause, readings = schedule.readings, failures = failures)
}

private fun ControlStep.schedule(
    engine: String,
    change: (ReadingSchedule) -> ReadingSchedule,
) {
    val readings = state.engineReadings ?: return
    val changed = change(readings.schedules[engine] ?: ReadingSchedule(now))
    state = state.copy(engineReadings = readings.copy(schedules = readings.schedules.put(engine, changed)))
}

private const val SLOW_ENGINES_IDENTIFIER = "slow-engines"
private const val READING_INTERVAL_MILLISECONDS = 1_000L
private const val PAUSE_MILLISECONDS = 10_000L
private const val IDLE_INTERVAL_MILLISECONDS = 2_000L

/** An engine with prompts all the time may never show its speed, however often it is read. */
private const val LEARNING_READINGS = 30

/** Bounds the open requests and the work of the leader where hundreds of engines are to be read. */
private const val LARGEST_NUMBER_AT_ONCE = 50
private const val LARGEST_DOUBLINGS = 5

// The process ends a reading before this.
private const val LOST_READING_MILLISECONDS = 3_000L
