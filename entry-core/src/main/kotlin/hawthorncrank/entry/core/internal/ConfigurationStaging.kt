package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ZoneMessage

/**
 * How an entry takes over configuration versions. A higher version is staged and announced to the zone. It comes into
 * force when a majority of the zone holds it, or 2 s later while the leader confirms it over the open control link. A
 * lower version is never applied.
 */
internal fun Reduction.stage(
    version: Long,
    configuration: Configuration,
    confirmed: Boolean,
) {
    val current = state.configuration
    if (version <= current.version && rules.versionsOnlyRise) return ignoreLower(version)
    val link = if (confirmed && state.controlLink.open) state.controlLink.number else null
    if (confirmed && !current.inForce) return applyVersion(version, configuration)
    if (!rules.versionsOnlyRise) return applyVersion(version, configuration)
    val known = current.staged[version]
    val next =
        known?.copy(confirmedOnLink = link ?: known.confirmedOnLink) ?: StagedVersion(version, configuration, now, link)
    val kept = current.staged.put(version, next)
    // The oldest is nearest to its 2 s and the newest is wanted most, so the one after the oldest makes room.
    val bounded = if (kept.size > STAGED_LIMIT) kept.remove(kept.keys.sorted()[1]) else kept
    configuration { it.copy(staged = bounded, stagedAt = if (known == null) now else it.stagedAt) }
    if (known == null) {
        record(EntryDecisionEvent.CONFIGURATION_STAGED, "version" to version, "confirmed" to confirmed)
        notifyZone()
    }
    applyDueVersions()
}

/** Stages a version that control sent as a change. The whole is asked for where the change does not fit. */
internal fun Reduction.stageChange(
    delta: ConfigurationDelta,
    confirmed: Boolean,
) {
    val known = state.configuration.held(delta.version)
    val base = state.configuration.held(delta.baseVersion)
    when {
        delta.version <= state.configuration.version -> ignoreLower(delta.version)
        known != null -> stage(delta.version, known, confirmed)
        base != null -> stage(delta.version, delta.applyTo(base), confirmed)
        else -> greetControl()
    }
}

internal fun Reduction.greetControl() {
    val version = state.configuration.version
    emit(EntryEffect.SendToControl(EntryToControl.EntryHello(settings.name, settings.availabilityZone, version)))
}

private fun Reduction.ignoreLower(version: Long) {
    if (version < state.configuration.version) {
        record(
            EntryDecisionEvent.LOWER_VERSION_IGNORED,
            "version" to version,
            "inForce" to state.configuration.version,
        )
    }
}

private fun Reduction.notifyZone() {
    configuration { it.copy(noticedAt = now) }
    emit(EntryEffect.SendToZone(ZoneMessage.StagedNotice(settings.name, state.configuration.held)))
}

internal fun Reduction.stagedNoticeReceived(notice: ZoneMessage.StagedNotice) {
    if (notice.entry !in settings.zoneEntries) return
    // The newest notice counts, not the highest: a neighbour that restarted no longer holds what it held.
    configuration { it.copy(noticed = it.noticed.put(notice.entry, notice.version)) }
    if (notice.version > state.configuration.held && !state.controlLink.open) askZone(notice.entry)
    applyDueVersions()
}

internal fun Reduction.configurationAsked(question: ZoneMessage.ConfigurationQuestion) {
    val current = state.configuration
    // The neighbour may just have started and know none of the marks.
    sendLeavingNotices(question.entry)
    // An entry that has not started yet has no memory of what was in force and must not vouch for a version.
    if (!current.inForce) return
    val held = current.held
    val configuration = current.held(held) ?: return
    emit(EntryEffect.SendToZone(ZoneMessage.ConfigurationAnswer(settings.name, held, configuration), question.entry))
}

internal fun Reduction.configurationAnswered(answer: ZoneMessage.ConfigurationAnswer) {
    if (answer.entry == settings.name || answer.entry !in settings.zoneEntries) return
    configuration { it.copy(noticed = it.noticed.put(answer.entry, answer.version)) }
    if (state.configuration.inForce) return stage(answer.version, answer.configuration, confirmed = false)
    val best = state.configuration.bestAttested
    val higher = best == null || answer.version > best.version
    configuration {
        it.copy(
            attested = it.attested.put(answer.entry, answer.version),
            bestAttested = if (higher) StagedVersion(answer.version, answer.configuration, now) else best,
        )
    }
    startByAttestation()
}

/**
 * A majority that staged a version has at least ⌊n/2⌋ members other than this entry. Among the n − 1 other entries, any
 * n − ⌊n/2⌋ include one of those, so the highest of their versions is not below what this entry had in force.
 */
private fun Reduction.startByAttestation() {
    val best = state.configuration.bestAttested ?: return
    val entries = settings.zoneEntries.size
    val needed = entries - entries / 2
    if (state.configuration.attested.size < needed) return
    record(
        EntryDecisionEvent.STARTED_BY_ATTESTATION,
        "version" to best.version,
        "entries" to
            state.configuration.attested.keys
                .sorted(),
    )
    applyVersion(best.version, best.configuration)
}

private fun Reduction.applyDueVersions() {
    val current = state.configuration
    if (!current.inForce) return
    val majority = settings.zoneEntries.size / 2 + 1
    val due =
        current.staged.values.filter { candidate ->
            val others =
                current.noticed.count { (entry, version) ->
                    entry != settings.name &&
                        version >= candidate.version
                }
            val confirmed = state.controlLink.open && candidate.confirmedOnLink == state.controlLink.number
            others + 1 >= majority || confirmed && now - candidate.stagedAt >= EXCEPTION_MILLISECONDS
        }
    due.maxByOrNull { it.version }?.let { applyVersion(it.version, it.configuration) }
}

private fun Reduction.applyVersion(
    version: Long,
    newConfiguration: Configuration,
) {
    val first = !state.configuration.inForce
    configuration {
        it.copy(
            version = version,
            configuration = newConfiguration,
            startedAt = it.startedAt ?: now,
            staged =
                it.staged.keys
                    .filter { staged ->
                        staged <= version
                    }.fold(it.staged) { map, key -> map.remove(key) },
            attested = it.attested.clear(),
            bestAttested = null,
        )
    }
    record(EntryDecisionEvent.CONFIGURATION_APPLIED, "version" to version)
    emit(EntryEffect.ConfigurationApplied(version, newConfiguration))
    notifyZone()
    configurationChanged()
    if (first && !state.stop.requested && settings.behaviour.confirmationLifetime == null) {
        emit(EntryEffect.ReadinessChanged(true, "configuration version $version is in force"))
    }
}

/** Asks the whole zone, or one neighbour that holds a higher version. */
private fun Reduction.askZone(neighbour: String? = null) {
    configuration { it.copy(askedAt = now) }
    emit(EntryEffect.SendToZone(ZoneMessage.ConfigurationQuestion(settings.name), neighbour))
}

internal fun Reduction.configurationTick() {
    applyDueVersions()
    val current = state.configuration
    askWhenBehind()
    // Notices are repeated often while a version spreads and rarely afterwards, in case a link lost one.
    val pause = if (now - current.stagedAt < SPREADING_MILLISECONDS) NOTICE_MILLISECONDS else IDLE_NOTICE_MILLISECONDS
    if (current.held > 0 && now - current.noticedAt >= pause) notifyZone()
}

/**
 * Neighbours answer with a whole configuration, megabytes at the planned size, while control sends a small change. So an
 * entry with a control link asks the zone only when control has not caught up with the zone for a while.
 */
private fun Reduction.askWhenBehind() {
    val current = state.configuration
    val behind = !current.inForce || current.noticed.values.any { it > current.held }
    if (!behind) {
        if (current.behindSince != null) configuration { it.copy(behindSince = null) }
        return
    }
    val since = current.behindSince ?: now
    if (current.behindSince == null) configuration { it.copy(behindSince = since) }
    val waitsForControl = current.inForce && state.controlLink.open && now - since < CONTROL_LEAD_MILLISECONDS
    val askedAt = current.askedAt
    if (!waitsForControl && (askedAt == null || now - askedAt >= QUESTION_MILLISECONDS)) askZone()
}

internal fun Reduction.configuration(change: (ConfigurationState) -> ConfigurationState) {
    state = state.copy(configuration = change(state.configuration))
}

private const val EXCEPTION_MILLISECONDS = 2_000L
private const val QUESTION_MILLISECONDS = 1_000L
private const val CONTROL_LEAD_MILLISECONDS = 3_000L
private const val NOTICE_MILLISECONDS = 1_000L
private const val IDLE_NOTICE_MILLISECONDS = 5_000L
private const val SPREADING_MILLISECONDS = 10_000L
private const val STAGED_LIMIT = 8
