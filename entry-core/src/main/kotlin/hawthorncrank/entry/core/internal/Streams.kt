package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Refusal
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.STREAM_LIFETIME_MILLISECONDS
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.serviceVersion
import kotlinx.collections.immutable.toPersistentMap

/*
 * What two versions of the upstreams' software write does not fit together, and upstreams do not check it. A stream that
 * broke off goes on only at the version that began it. Callers may take it up at another entry, so control keeps which
 * version began each stream. If that version is unknown and several may have begun it, the stream ends.
 */

/** Notes which version begins the stream, before its first event can be answered with a resumption elsewhere. */
internal fun Reduction.streamBegan(
    active: ActiveRequest,
    attempt: RunningAttempt,
): ActiveRequest {
    val software = attempt.software
    if (!settings.behaviour.separatesSoftware || !active.request.streamed || software == null) return active
    if (active.software != null) return active
    val origin = originOf(active)
    if (origin != null && active.request.retryPolicy?.resumable == true) {
        streams { it.copy(begun = it.begun.put(origin, BegunStream(software, now))) }
        if (state.controlLink.open) reportStream(origin, software)
    }
    return active.copy(software = software)
}

/** Messages on a link that closed may be lost, and control may have restarted. */
internal fun Reduction.reportStreamsAgain() {
    if (!settings.behaviour.separatesSoftware) return
    state.streams.begun.entries
        .filterValues { now - it.at < STREAM_LIFETIME_MILLISECONDS }
        .forEach { (stream, begun) -> reportStream(stream, begun.software) }
}

/** Finds out which version began a stream that is to go on, and queues it then. Returns false if nothing is to be found. */
internal fun Reduction.traceStream(active: ActiveRequest): Boolean {
    if (!settings.behaviour.separatesSoftware || !needsTracing(active)) return false
    val origin = originOf(active)
    val known = origin?.let { state.streams.begun[it] }
    val traced = active.copy(traced = true, software = known?.software)
    when {
        known != null -> enqueue(traced)
        origin == null || !state.controlLink.open -> continueUntraced(traced, mayHaveOtherVersion(traced))
        else -> {
            update(traced.copy(phase = RequestPhase.Tracing(origin, now)))
            val service = active.request.target.label
            emit(EntryEffect.SendToControl(EntryToControl.FindStream(origin, service)))
        }
    }
    return true
}

private fun needsTracing(active: ActiveRequest): Boolean {
    val continues = active.request.resumption != null || active.answerBegan && active.request.streamed
    return continues && active.software == null && !active.traced
}

internal fun Reduction.streamFound(message: ControlToEntry.StreamFound) =
    tracing().filter { (_, phase) -> phase.origin == message.stream }.forEach { (active, _) ->
        val software = message.software
        if (software != null) enqueue(active.copy(software = software)) else continueUntraced(active, message.ambiguous)
    }

internal fun Reduction.streamsTick() {
    if (!settings.behaviour.separatesSoftware) return
    tracing()
        .filter { (_, phase) -> now - phase.since >= ANSWER_WAIT_MILLISECONDS }
        .forEach { (active, _) -> continueUntraced(active, mayHaveOtherVersion(active)) }
    state.requests.active.values
        .filter { it.phase == RequestPhase.Queued && it.software != null }
        .forEach(::refuseWithoutVersion)
}

/** Ends a stream if no upstream that may get work has the version that began it. */
internal fun Reduction.refuseWithoutVersion(active: ActiveRequest): Boolean {
    val software = active.software ?: return false
    val serving =
        state.configuration.effective.upstreams
            .filter { serves(it, active.request.target) }
    if (serving.any { state.streams.software[it.name] == software && !isLeaving(it) }) return false
    refuse(active, Refusal.StreamNotResumable)
    return true
}

/** The candidates at which the stream may not go on. */
internal fun Reduction.ofOtherVersion(
    active: ActiveRequest,
    candidates: List<Upstream>,
): Set<String> {
    val software = active.software ?: return emptySet()
    return candidates.map { it.name }.filterTo(HashSet()) { state.streams.software[it] != software }
}

/** Follows the list of upstreams. The list [before] was in force until now. */
internal fun Reduction.updateSoftware(before: List<ListedUpstream>) {
    val listed = state.membership.listed
    val versions = (before + listed).mapNotNull { it.serviceVersion }
    val recent = state.streams.lastListed.filterValues(::isRecent) + versions.associateWith { now }
    streams {
        it.copy(
            software =
                listed
                    .mapNotNull { item -> item.software?.let { software -> item.name to software } }
                    .toMap()
                    .toPersistentMap(),
            lastListed = recent.toPersistentMap(),
        )
    }
}

private fun Reduction.continueUntraced(
    active: ActiveRequest,
    ambiguous: Boolean,
) {
    if (!ambiguous) return enqueue(active)
    recordRequestEvent(active, EntryDecisionEvent.STREAM_VERSION_UNKNOWN, "origin" to originOf(active))
    refuse(active.copy(phase = RequestPhase.Queued), Refusal.StreamNotResumable)
}

/**
 * Whether, as far as this entry knows, another version than the listed one may have begun the stream. What was listed
 * before this entry started counts only for callers that name the attempt with the first event: others are written for
 * upstreams of one version.
 */
private fun Reduction.mayHaveOtherVersion(active: ActiveRequest): Boolean {
    val service = active.request.target.label
    val before =
        state.streams.lastListed
            .filterValues(::isRecent)
            .keys
    val listed = state.membership.listed.mapNotNull { it.serviceVersion }
    val versions = (before + listed).count { it.service == service }
    val startedAt = state.configuration.startedAt ?: now
    val unseen = originOf(active) != null && now - startedAt < STREAM_LIFETIME_MILLISECONDS
    return versions > 1 || versions == 1 && unseen
}

private fun Reduction.isRecent(listedAt: Long): Boolean = now - listedAt < STREAM_LIFETIME_MILLISECONDS

private fun Reduction.tracing(): List<Pair<ActiveRequest, RequestPhase.Tracing>> =
    state.requests.active.values.mapNotNull { active ->
        (active.phase as? RequestPhase.Tracing)?.let { active to it }
    }

/** The attempt of the caller that brought the first event of the stream, or null if the caller does not say. */
private fun originOf(active: ActiveRequest): String? {
    val resumption = active.request.resumption ?: return active.request.identifier.ifEmpty { null }
    return resumption.origin
}

private fun Reduction.reportStream(
    stream: String,
    software: String,
) = emit(EntryEffect.SendToControl(EntryToControl.StreamBegan(stream, software)))

private fun Reduction.streams(change: (StreamsState) -> StreamsState) {
    state = state.copy(streams = change(state.streams))
}

// Control answers within a round trip. A replica that is being replaced does not answer.
private const val ANSWER_WAIT_MILLISECONDS = 500L
