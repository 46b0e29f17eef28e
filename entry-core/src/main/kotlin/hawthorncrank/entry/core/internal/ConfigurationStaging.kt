package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ZoneMessage

/**
 * Handles a configuration version that this entry received. A higher version is staged and announced to the zone. It
 * comes into force when a majority of the zone's entries hold it, or after 2 s if the leader has confirmed it over the
 * control link that is still open. An entry without a configuration applies a confirmed version at once. A lower
 * version is never applied.
 */
internal fun Reduction.stage(
    version: Long,
    configuration: Configuration,
    confirmed: Boolean,
) {
    val current = state.configuration
    if (version <= current.version && rules.versionsOnlyIncrease) return logLowerVersion(version)
    val link = if (confirmed && state.controlLink.open) state.controlLink.number else null
    if (confirmed && !current.inForce) return applyVersion(version, configuration, VersionSource.CONTROL)
    if (!rules.versionsOnlyIncrease) return applyVersion(version, configuration, VersionSource.CONTROL)
    val known = current.staged[version]
    val next =
        known?.copy(confirmedOnLink = link ?: known.confirmedOnLink) ?: StagedVersion(version, configuration, now, link)
    val kept = current.staged.put(version, next)
    // Drops the second oldest version: the oldest is closest to the end of its 2 s wait, and the newest is needed most.
    val bounded = if (kept.size > STAGED_LIMIT) kept.remove(kept.keys.sorted()[1]) else kept
    configuration { it.copy(staged = bounded, stagedAt = if (known == null) now else it.stagedAt) }
    if (known == null) {
        record(EntryDecisionEvent.CONFIGURATION_STAGED, "version" to version, "confirmed" to confirmed)
        notifyZone()
    }
    applyDueVersions()
}

/** Stages a version that control sent as a delta. Requests the full configuration if the base version is not held. */
internal fun Reduction.stageChange(
    delta: ConfigurationDelta,
    confirmed: Boolean,
) {
    val known = state.configuration.find(delta.version)
    val base = state.configuration.find(delta.baseVersion)
    when {
        delta.version <= state.configuration.version -> logLowerVersion(delta.version)
        known != null -> stage(delta.version, known, confirmed)
        base != null -> stage(delta.version, delta.applyTo(base), confirmed)
        else -> sendHello()
    }
}

internal fun Reduction.sendHello() {
    val version = state.configuration.version
    val hello =
        EntryToControl.EntryHello(
            settings.name,
            settings.availabilityZone,
            version,
            settings.relayAddress.orEmpty(),
            readsSoftware = settings.behaviour.separatesSoftware,
        )
    emit(EntryEffect.SendToControl(hello))
}

private fun Reduction.logLowerVersion(version: Long) {
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
    emit(EntryEffect.SendToZone(ZoneMessage.StagedNotice(settings.name, state.configuration.highestVersion)))
}

internal fun Reduction.stagedNoticeReceived(notice: ZoneMessage.StagedNotice) {
    if (notice.entry !in settings.zoneEntries) return
    // The newest notice counts, not the highest version, because a restarted neighbour has lost its staged versions.
    configuration { it.copy(noticedVersions = it.noticedVersions.put(notice.entry, notice.version)) }
    if (notice.version > state.configuration.highestVersion && !state.controlLink.open) askZone(notice.entry)
    applyDueVersions()
}

internal fun Reduction.configurationAsked(question: ZoneMessage.ConfigurationQuestion) {
    val current = state.configuration
    // The neighbour may just have started and not know yet which upstreams are leaving.
    sendLeavingNotices(question.entry)
    // Before a configuration is in force, this entry does not know what was in force and must not report a version.
    if (!current.inForce) return
    val highest = current.highestVersion
    val configuration = current.find(highest) ?: return
    emit(EntryEffect.SendToZone(ZoneMessage.ConfigurationAnswer(settings.name, highest, configuration), question.entry))
}

internal fun Reduction.configurationAnswered(answer: ZoneMessage.ConfigurationAnswer) {
    if (answer.entry == settings.name || answer.entry !in settings.zoneEntries) return
    configuration { it.copy(noticedVersions = it.noticedVersions.put(answer.entry, answer.version)) }
    if (state.configuration.inForce) return stage(answer.version, answer.configuration, confirmed = false)
    val best = state.configuration.highestAnswer
    val higher = best == null || answer.version > best.version
    configuration {
        it.copy(
            answeredVersions = it.answeredVersions.put(answer.entry, answer.version),
            highestAnswer = if (higher) StagedVersion(answer.version, answer.configuration, now) else best,
        )
    }
    startFromNeighbourAnswers()
}

/**
 * Starts with the highest version among the answers of enough neighbours. A majority that staged a version has at least
 * ⌊n/2⌋ members other than this entry. Any n − ⌊n/2⌋ of the n − 1 other entries include one of those members, so the
 * highest of their versions is not below the version that this entry had in force.
 */
private fun Reduction.startFromNeighbourAnswers() {
    val best = state.configuration.highestAnswer ?: return
    val entries = settings.zoneEntries.size
    val needed = entries - entries / 2
    if (state.configuration.answeredVersions.size < needed) return
    record(
        EntryDecisionEvent.STARTED_FROM_NEIGHBOURS,
        "version" to best.version,
        "entries" to
            state.configuration.answeredVersions.keys
                .sorted(),
    )
    applyVersion(best.version, best.configuration, VersionSource.NEIGHBOURS)
}

private fun Reduction.applyDueVersions() {
    val current = state.configuration
    if (!current.inForce) return
    val majority = settings.zoneEntries.size / 2 + 1
    val due =
        current.staged.values.mapNotNull { candidate ->
            val others =
                current.noticedVersions.count { (entry, version) ->
                    entry != settings.name &&
                        version >= candidate.version
                }
            val confirmed = state.controlLink.open && candidate.confirmedOnLink == state.controlLink.number
            when {
                others + 1 >= majority -> candidate to VersionSource.ZONE_MAJORITY
                confirmed && now - candidate.stagedAt >= CONFIRMED_WAIT_MILLISECONDS ->
                    candidate to VersionSource.CONTROL
                else -> null
            }
        }
    val (newest, source) = due.maxByOrNull { (candidate, _) -> candidate.version } ?: return
    applyVersion(newest.version, newest.configuration, source)
}

private fun Reduction.applyVersion(
    version: Long,
    newConfiguration: Configuration,
    source: VersionSource,
) {
    val stagedAt = state.configuration.staged[version]?.stagedAt
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
            answeredVersions = it.answeredVersions.clear(),
            highestAnswer = null,
        )
    }
    record(
        EntryDecisionEvent.CONFIGURATION_APPLIED,
        "version" to version,
        "source" to source.name.lowercase(),
        "staged_for" to stagedAt?.let { now - it },
    )
    emit(EntryEffect.ConfigurationApplied(version, newConfiguration))
    notifyZone()
    configurationChanged()
    if (first && !state.stop.requested && settings.behaviour.confirmationLifetime == null) {
        emit(EntryEffect.ReadinessChanged(true, "configuration version $version is in force"))
    }
}

/** Requests the configuration from the whole zone, or from one neighbour that holds a higher version. */
private fun Reduction.askZone(neighbour: String? = null) {
    configuration { it.copy(askedAt = now) }
    emit(EntryEffect.SendToZone(ZoneMessage.ConfigurationQuestion(settings.name), neighbour))
}

internal fun Reduction.configurationTick() {
    applyDueVersions()
    val current = state.configuration
    askZoneWhenBehind()
    // Notices are repeated in case a link lost one: often while a version spreads, and rarely afterwards.
    val pause = if (now - current.stagedAt < SPREADING_MILLISECONDS) NOTICE_MILLISECONDS else IDLE_NOTICE_MILLISECONDS
    if (current.highestVersion > 0 && now - current.noticedAt >= pause) notifyZone()
}

/**
 * Requests the configuration from the zone if this entry is behind. Neighbours answer with a full configuration, which
 * takes megabytes at the planned scale, while control sends a small delta. An entry that has a configuration and an
 * open control link therefore waits a few seconds for control first.
 */
private fun Reduction.askZoneWhenBehind() {
    val current = state.configuration
    val behind = !current.inForce || current.noticedVersions.values.any { it > current.highestVersion }
    if (!behind) {
        if (current.behindSince != null) configuration { it.copy(behindSince = null) }
        return
    }
    val since = current.behindSince ?: now
    if (current.behindSince == null) configuration { it.copy(behindSince = since) }
    val waitsForControl = current.inForce && state.controlLink.open && now - since < CONTROL_WAIT_MILLISECONDS
    val askedAt = current.askedAt
    if (!waitsForControl && (askedAt == null || now - askedAt >= QUESTION_INTERVAL_MILLISECONDS)) askZone()
}

internal fun Reduction.configuration(change: (ConfigurationState) -> ConfigurationState) {
    state = state.copy(configuration = change(state.configuration))
}

/** Who showed that a version may come into force: control, or the entries of the zone. */
private enum class VersionSource { CONTROL, ZONE_MAJORITY, NEIGHBOURS }

private const val CONFIRMED_WAIT_MILLISECONDS = 2_000L
private const val QUESTION_INTERVAL_MILLISECONDS = 1_000L
private const val CONTROL_WAIT_MILLISECONDS = 3_000L
private const val NOTICE_MILLISECONDS = 1_000L
private const val IDLE_NOTICE_MILLISECONDS = 5_000L
private const val SPREADING_MILLISECONDS = 10_000L
private const val STAGED_LIMIT = 8
