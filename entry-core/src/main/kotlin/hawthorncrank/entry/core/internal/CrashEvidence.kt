package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.protocol.BegunContent
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.UnansweredRequest
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

/*
 * Evidence against contents that crash upstreams behind routes. An entry sees few of the crashes, so control collects
 * what all entries report and convicts. A lost connection alone is no crash there; the upstream must also be
 * unreachable right after it.
 */

/** What may make the request crash an upstream, as control and the convictions name it. */
internal val CallerRequest.contents: List<String>
    get() = sharedParts.map { PART_PREFIX + it } + contentDigest

/** The content for which the request must not run, or null. */
internal fun Reduction.convictedContent(request: CallerRequest): String? {
    if (request.sharedParts.isEmpty() || !rules.convictionsAreEnforced) return null
    return request.sharedParts.map { PART_PREFIX + it }.firstOrNull { state.suspects.isConvicted(it, now) }
}

/** Asks whether the upstream still runs after a connection broke. A request that had begun is no cause of a crash. */
internal fun Reduction.connectionBroken(
    attempt: RunningAttempt,
    active: ActiveRequest?,
) {
    val upstream = upstream(attempt.upstream) ?: return
    val lost = state.crashEvidence.unanswered[upstream.name]
    val begun = active == null || active.firstByteAt != null || attempt.firstByteAt != null
    val requests = if (begun) emptyList() else listOf(unanswered(attempt, active.request))
    evidence { it.copy(unanswered = it.unanswered.put(upstream.name, (lost ?: persistentListOf()).addAll(requests))) }
    if (lost == null) emit(EntryEffect.ProbeUpstream(upstream.name, upstream.address))
}

private fun Reduction.unanswered(
    attempt: RunningAttempt,
    request: CallerRequest,
) = UnansweredRequest(request.contents, attempt.priority, now - attempt.startedAt)

/** Whether a probe of the upstream is running because of a broken connection. */
internal fun Reduction.asksAboutCrash(upstream: String): Boolean = upstream in state.crashEvidence.unanswered

/** Reports a crash with the requests that the upstream had not begun to answer. */
internal fun Reduction.crashProbeAnswered(
    upstream: String,
    reachable: Boolean,
) {
    val lost = state.crashEvidence.unanswered[upstream] ?: return
    evidence { it.copy(unanswered = it.unanswered.remove(upstream)) }
    if (reachable) return
    connectFailed(upstream)
    // Behind a partition, upstreams that run are unreachable too.
    if (state.partition.suspected) return
    record(EntryDecisionEvent.UPSTREAM_CRASHED, "upstream" to upstream, "unanswered" to lost.size)
    val crash = ObservedCrash(upstream, now, lost)
    evidence { it.copy(unsent = (it.unsent.add(crash)).takeLast(UNSENT_LIMIT).toPersistentList()) }
    sendCrashReports()
}

internal fun Reduction.sendCrashReports() {
    val evidence = state.crashEvidence
    if (!state.controlLink.open || evidence.unsent.isEmpty()) return
    evidence.unsent.forEach {
        emit(EntryEffect.SendToControl(EntryToControl.CrashReport(it.upstream, it.requests, now - it.at)))
    }
    evidence { it.copy(unsent = persistentListOf()) }
}

/** An upstream began to answer the request, so none of its contents crashes each upstream that begins to answer it. */
internal fun Reduction.contentsBegan(request: CallerRequest) {
    if (request.retryPolicy == null) return
    evidence { state ->
        state.copy(began = request.contents.fold(state.began) { began, content -> began.put(content, now) })
    }
    refute(request.contents.filter { it in state.crashEvidence.suspicions })
}

internal fun Reduction.suspicionsUpdated(update: ControlToEntry.SuspicionUpdate) {
    val held = update.suspicions.associate { it.content to now - it.age }
    val changed =
        held.filter { (content, since) ->
            state.crashEvidence.suspicions[content]?.let { since > it } != false
        }
    evidence { it.copy(suspicions = held.toPersistentMap(), refuted = it.refuted.retainAll(held.keys - changed.keys)) }
    refute(held.filter { (content, since) -> state.crashEvidence.began[content]?.let { it > since } == true }.keys)
}

/** A refutation that a former link carried may be lost. */
internal fun Reduction.repeatRefutations() = evidence { it.copy(refuted = it.refuted.clear()) }

private fun Reduction.refute(contents: Collection<String>) {
    val refuted = contents.filter { it !in state.crashEvidence.refuted }
    if (refuted.isEmpty() || !state.controlLink.open) return
    record(EntryDecisionEvent.SUSPICION_REFUTED, "contents" to refuted.joinToString(","))
    val begun =
        refuted.mapNotNull { content ->
            state.crashEvidence.began[content]?.let { BegunContent(content, now - it) }
        }
    emit(EntryEffect.SendToControl(EntryToControl.SuspicionsRefuted(begun)))
    evidence { it.copy(refuted = it.refuted.addAll(refuted)) }
}

private fun Reduction.evidence(change: (CrashEvidenceState) -> CrashEvidenceState) {
    state = state.copy(crashEvidence = change(state.crashEvidence))
}

private const val PART_PREFIX = "part:"
private const val UNSENT_LIMIT = 100
