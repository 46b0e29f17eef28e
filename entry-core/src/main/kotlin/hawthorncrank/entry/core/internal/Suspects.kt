package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ZoneMessage
import kotlinx.collections.immutable.toPersistentSet

/**
 * Finds request contents that crash engines. Each crash makes every content in flight on the engine a suspect. A
 * content is convicted when it was the only one that ran as a suspect in a crash, or the only one common to two. A
 * content that was alone on an engine at its first crash is a suspect and not convicted: each entry sees only its own
 * requests, and a failed VM would otherwise convict whatever ran on it.
 *
 * The traffic threads report a crash as one broken attempt after the other. The first report opens the crash with
 * everything in flight on the engine; the others fall into it.
 */
internal fun Reduction.engineLost(attempt: RunningAttempt) {
    if (belongsToKnownCrash(attempt)) return
    val lost = state.attempts.on(attempt.upstream) + attempt
    val contents = lost.map { it.contentDigest }.toPersistentSet()
    val retried = lost.filter { it.suspect }.map { it.contentDigest }.toPersistentSet()
    val crash = EngineCrash(attempt.upstream, now, contents, retried)
    val earlier = state.suspects.crashes
    suspects {
        val recorded = earlier.add(crash)
        it.copy(
            crashes = if (recorded.size > CRASHES_REMEMBERED) recorded.removeAt(0) else recorded,
            suspects = contents.fold(it.suspects) { map, digest -> map.put(digest, now + SUSPICION_MILLISECONDS) },
        )
    }
    record(EntryDecisionEvent.ENGINE_CRASHED, "engine" to attempt.upstream, "contents" to contents.size)
    exclude(attempt.upstream, "its connection was lost with requests in flight")
    val guilty = contents.filter { digest -> provesGuilt(digest, crash, earlier) }
    (contents - guilty.toSet()).forEach { report(it, convicted = false) }
    guilty.forEach(::convictByEvidence)
    contents.filter { reachedLossLimit(it) && !state.suspects.isConvicted(it, now) }.forEach {
        record(EntryDecisionEvent.CONTENT_LIMITED, "content" to it)
        stopContent(it)
    }
}

private fun Reduction.belongsToKnownCrash(attempt: RunningAttempt): Boolean {
    val latest = state.suspects.crashes.lastOrNull { it.engine == attempt.upstream } ?: return false
    return attempt.startedAt <= latest.at &&
        now - latest.at <= GATHERING_MILLISECONDS &&
        attempt.contentDigest in latest.contents
}

private fun provesGuilt(
    digest: String,
    crash: EngineCrash,
    earlier: List<EngineCrash>,
): Boolean {
    if (crash.retriedSuspects.singleOrNull() == digest) return true
    return earlier.any { it.blames(digest) && it.contents.count { other -> other in crash.contents } == 1 }
}

private fun Reduction.convictByEvidence(digest: String) {
    if (state.suspects.isConvicted(digest, now)) return
    suspects { it.copy(reporting = it.reporting.put(digest, now)) }
    report(digest, convicted = true)
    convict(digest, source = "own evidence")
}

private fun Reduction.convict(
    digest: String,
    source: String,
) {
    suspects { it.copy(convicted = it.convicted.put(digest, now + CONVICTION_MILLISECONDS)) }
    record(EntryDecisionEvent.CONTENT_CONVICTED, "content" to digest, "source" to source)
    stopContent(digest)
}

/** Refuses what waits with this content and stops what runs with it, before it costs another engine. */
internal fun Reduction.stopContent(digest: String) {
    if (!rules.convictionsAreEnforced || mayRun(digest)) return
    state.requests.active.values
        .filter { it.request.contentDigest == digest }
        .forEach(::stopConvicted)
}

/** Whether this content may be sent to an engine at all. */
internal fun Reduction.mayRun(digest: String): Boolean {
    if (state.suspects.isConvicted(digest, now)) return !rules.convictionsAreEnforced
    return !reachedLossLimit(digest)
}

private fun Reduction.reachedLossLimit(digest: String): Boolean =
    rules.engineLossesAreLimited && state.suspects.enginesLost(digest) >= ENGINE_LOSS_LIMIT

/**
 * Whether this content may go to [engine] beside what is [running]. A suspect runs once at a time and not beside
 * another suspect. Even a content without evidence runs on at most three engines, because each of them may crash.
 */
internal fun Reduction.mayRunOn(
    digest: String,
    engine: String,
    running: Collection<PlacedContent>,
): Boolean {
    val own = running.filter { it.contentDigest == digest }
    if (rules.engineLossesAreLimited) {
        val engines = own.map { it.upstream }.toSet() + engine
        if (state.suspects.enginesLost(digest) + engines.size > ENGINE_LOSS_LIMIT) return false
    }
    if (!state.suspects.isSuspect(digest, now)) return true
    return own.isEmpty() && running.none { it.upstream == engine && state.suspects.isSuspect(it.contentDigest, now) }
}

/** A content that finished while no other suspect could be blamed is no longer suspected. */
internal fun Reduction.finishedAlone(digest: String) {
    suspects { it.copy(suspects = it.suspects.remove(digest)) }
}

private fun Reduction.report(
    digest: String,
    convicted: Boolean,
) {
    val crashes = state.suspects.enginesLost(digest)
    if (state.controlLink.open) {
        emit(EntryEffect.SendToControl(EntryToControl.SuspectReport(digest, crashes, convicted)))
    }
    emit(EntryEffect.SendToZone(ZoneMessage.SuspectNotice(settings.name, digest, crashes, convicted)))
}

internal fun Reduction.suspectNoticed(notice: ZoneMessage.SuspectNotice) {
    if (notice.entry == settings.name) return
    val digest = notice.contentDigest
    if (!notice.convicted) {
        suspects { it.copy(suspects = it.suspects.put(digest, now + SUSPICION_MILLISECONDS)) }
        return
    }
    val liftedAt = state.suspects.lifted[digest]
    val lifted = liftedAt != null && now - liftedAt < LIFTED_MILLISECONDS
    if (!lifted && !state.suspects.isConvicted(digest, now)) convict(digest, source = notice.entry)
}

/** Reports own convictions again until control lists them; until then the zone relies on these notices too. */
internal fun Reduction.suspectsTick() {
    if (state.suspects.reporting.any { now - it.value >= REPORT_REPEAT_MILLISECONDS }) reportConvictionsAgain()
    val oldest = state.suspects.crashes.firstOrNull()
    if (oldest != null && now - oldest.at >= CONVICTION_MILLISECONDS) {
        suspects { it.copy(crashes = it.crashes.removeAt(0)) }
    }
}

internal fun Reduction.reportConvictionsAgain() {
    val (standing, ended) =
        state.suspects.reporting.keys
            .partition { state.suspects.isConvicted(it, now) }
    standing.forEach { report(it, convicted = true) }
    suspects {
        val kept = ended.fold(it.reporting) { map, digest -> map.remove(digest) }
        it.copy(reporting = standing.fold(kept) { map, digest -> map.put(digest, now) })
    }
}

internal fun Reduction.suspects(change: (SuspectsState) -> SuspectsState) {
    state = state.copy(suspects = change(state.suspects))
}

private const val ENGINE_LOSS_LIMIT = 3
private const val CRASHES_REMEMBERED = 256
private const val CONVICTION_MILLISECONDS = 3_600_000L
private const val SUSPICION_MILLISECONDS = 600_000L
private const val REPORT_REPEAT_MILLISECONDS = 5_000L

// Connections of one crashed engine break within this time of each other.
private const val GATHERING_MILLISECONDS = 2_000L

// A notice that was on its way when an operator lifted the conviction must not restore it.
private const val LIFTED_MILLISECONDS = 60_000L
