package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Refusal
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ZoneMessage
import kotlinx.collections.immutable.toPersistentSet

/**
 * Detects request content that crashes engines. Each crash makes all content in flight on the engine suspect. Content
 * is convicted, which means refused, if it was the only suspect that ran in a crash, or the only content that two
 * crashes have in common. Content that was alone on an engine at its first crash becomes suspect but is not convicted:
 * each entry sees only its own requests, and a failed VM would otherwise convict any content that ran on it.
 *
 * The traffic threads report each broken attempt of a crash separately. The first report records the crash with all
 * content in flight on the engine; the later reports are matched to that crash.
 */
internal fun Reduction.engineCrashed(attempt: RunningAttempt) {
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
    val provenCauses = contents.filter { digest -> isProvenCause(digest, crash, earlier) }
    (contents - provenCauses.toSet()).forEach { report(it, convicted = false) }
    provenCauses.forEach(::convictFromOwnCrashes)
    contents.filter { reachedLossLimit(it) && !state.suspects.isConvicted(it, now) }.forEach {
        record(EntryDecisionEvent.CONTENT_LIMITED, "content" to it)
        stopContent(it)
    }
}

private fun Reduction.belongsToKnownCrash(attempt: RunningAttempt): Boolean {
    val latest = state.suspects.crashes.lastOrNull { it.engine == attempt.upstream } ?: return false
    return attempt.startedAt <= latest.at &&
        now - latest.at <= CRASH_WINDOW_MILLISECONDS &&
        attempt.contentDigest in latest.contents
}

private fun isProvenCause(
    digest: String,
    crash: EngineCrash,
    earlier: List<EngineCrash>,
): Boolean {
    if (crash.retriedSuspects.singleOrNull() == digest) return true
    return earlier.any { it.implicates(digest) && it.contents.count { other -> other in crash.contents } == 1 }
}

private fun Reduction.convictFromOwnCrashes(digest: String) {
    if (state.suspects.isConvicted(digest, now)) return
    suspects { it.copy(unlisted = it.unlisted.put(digest, now)) }
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

/** Refuses queued requests with this content and cancels running ones, before it crashes another engine. */
internal fun Reduction.stopContent(digest: String) {
    if (!rules.convictionsAreEnforced || contentMayRun(digest)) return
    state.requests.active.values
        .filter { it.request.contentDigest == digest || digest in it.request.contents && !it.answerBegan }
        .forEach(::stopConvicted)
}

/** Whether neither the content of the request nor a shared part of its prompt is refused. */
internal fun Reduction.mayRun(request: CallerRequest): Boolean =
    convictedContent(request) == null && contentMayRun(request.contentDigest)

internal fun Reduction.convicted(request: CallerRequest): Refusal {
    val content = convictedContent(request) ?: request.contentDigest
    return Refusal.Convicted(content, retryAfterMilliseconds = state.suspects.convictedUntil(content)?.let { it - now })
}

/** Whether this content may be sent to an engine at all. */
internal fun Reduction.contentMayRun(digest: String): Boolean {
    if (state.suspects.isConvicted(digest, now)) return !rules.convictionsAreEnforced
    return !reachedLossLimit(digest)
}

private fun Reduction.reachedLossLimit(digest: String): Boolean =
    rules.engineLossesAreLimited && state.suspects.enginesLost(digest) >= ENGINE_LOSS_LIMIT

/**
 * Whether this content may be sent to [engine], given the content that is [running]. Suspect content runs only once at
 * a time and shares an engine with no other suspect. At most three engines may crash with the same content. Engines
 * that run it now count towards that limit too, even without evidence against it, because each of them may crash.
 */
internal fun Reduction.contentMayRunOn(
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

/** Content is no longer suspect once it has finished as the only suspect on its engine. */
internal fun Reduction.clearSuspicion(digest: String) {
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
    val lifted = liftedAt != null && now - liftedAt < LIFTED_REMEMBERED_MILLISECONDS
    if (!lifted && !state.suspects.isConvicted(digest, now)) convict(digest, source = notice.entry)
}

/** Resends this entry's convictions until control lists them. Until then the zone also depends on these notices. */
internal fun Reduction.suspectsTick() {
    if (state.suspects.unlisted.any { now - it.value >= REPORT_REPEAT_MILLISECONDS }) reportConvictionsAgain()
    val oldest = state.suspects.crashes.firstOrNull()
    if (oldest != null && now - oldest.at >= CONVICTION_MILLISECONDS) {
        suspects { it.copy(crashes = it.crashes.removeAt(0)) }
    }
}

internal fun Reduction.reportConvictionsAgain() {
    val (standing, ended) =
        state.suspects.unlisted.keys
            .partition { state.suspects.isConvicted(it, now) }
    standing.forEach { report(it, convicted = true) }
    suspects {
        val kept = ended.fold(it.unlisted) { map, digest -> map.remove(digest) }
        it.copy(unlisted = standing.fold(kept) { map, digest -> map.put(digest, now) })
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

// The connections of one crashed engine break within this time of each other.
private const val CRASH_WINDOW_MILLISECONDS = 2_000L

// A notice that was in transit when an operator lifted the conviction must not restore it.
private const val LIFTED_REMEMBERED_MILLISECONDS = 60_000L
