package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaRole
import hawthorncrank.control.ControlOperation
import hawthorncrank.protocol.EntryToControl

/**
 * Handles what a linked entry sends. [ControlEvent.EntryMessage.entry] is the name that its handshake authenticated.
 */
internal fun ControlStep.entryMessage(event: ControlEvent.EntryMessage) {
    if (state.stopping) return
    val requester = Requester.Entry(event.link)
    when (val message = event.message) {
        is EntryToControl.EntryHello -> handleHello(event, message)
        is EntryToControl.ClaimRequest ->
            propose(
                message.attemptIdentifier,
                event.entry,
                ControlOperation.Claim(message.key, message.requestDigest),
                requester,
                CLAIM_MILLISECONDS,
            )
        is EntryToControl.OutcomeRecord -> proposeOutcome(event.entry, message, requester)
        is EntryToControl.ClaimAbandon ->
            propose(
                "abandon/${message.attemptIdentifier}",
                event.entry,
                ControlOperation.AbandonClaim(message.key, message.attemptIdentifier),
                requester,
                REPEATED_COMMAND_MILLISECONDS,
            )
        is EntryToControl.SuspectReport -> handleSuspectReport(event.entry, message)
        is EntryToControl.CrashReport -> handleCrashReport(event.entry, message)
        is EntryToControl.SuspicionsRefuted -> handleRefutation(event.entry, message)
        is EntryToControl.ConfirmConfiguration -> handleConfirmationRequest(event.link, message)
        is EntryToControl.ListUpstreams -> handleListRequest(event.link, message)
        is EntryToControl.StreamBegan -> streamBegan(message)
        is EntryToControl.FindStream -> findStream(event.link, message)
        EntryToControl.ListRelays -> sendRelays(event.link, event.entry)
        is EntryToControl.EngineDemand -> handleEngineDemand(event.link, message)
        is EntryToControl.EntryStatus -> updateStatus(event.link, message)
        is EntryToControl.UsageCounts -> handleUsageCounts(event.link, message)
        is EntryToControl.ExplainAnswer -> handleExplainAnswer(event.link, message)
    }
}

private fun ControlStep.proposeOutcome(
    entry: String,
    message: EntryToControl.OutcomeRecord,
    requester: Requester,
) = propose(
    "outcome/${message.claimNumber}/${message.outcome.javaClass.simpleName}",
    entry,
    ControlOperation.RecordOutcome(message.key, message.claimNumber, message.outcome),
    requester,
    REPEATED_COMMAND_MILLISECONDS,
)

/**
 * The first hello opens the session; a later one on the same link means that a change did not apply to the version that
 * the entry holds.
 */
private fun ControlStep.handleHello(
    event: ControlEvent.EntryMessage,
    hello: EntryToControl.EntryHello,
) {
    val isNew = event.link !in state.entryLinks
    val openedAt = state.entryLinks[event.link]?.openedAt ?: now
    val session =
        EntryLink(
            event.entry,
            hello.availabilityZone,
            openedAt,
            heldVersion = hello.appliedVersion,
            relayAddress = hello.relayAddress,
            readsSoftware = hello.readsSoftware,
            reportedAt = now,
        )
    state =
        state.copy(
            entryLinks = state.entryLinks.put(event.link, session),
            absentSince = state.absentSince.remove(event.entry),
        )
    if (isNew) {
        record(ControlEventCode.ENTRY_LINKED, "entry" to event.entry, "version" to hello.appliedVersion)
        reportLinked(session, fresh = hello.appliedVersion == 0L)
    }
    sendConvictions(event.link)
    if (state.control.questionedSuspects().isNotEmpty()) sendSuspicions(event.link)
    sendDrains(event.link)
    askForUsage(event.link)
    askForEngineDemand(event.link)
    confirmEntries(listOf(event.link))
}

private fun ControlStep.reportLinked(
    session: EntryLink,
    fresh: Boolean,
) {
    if (!fresh && isReported(session)) return
    val operation =
        ControlOperation.EntryLinked(
            session.entry,
            state.replica.self.name,
            fresh,
            session.availabilityZone,
            session.relayAddress,
        )
    proposeOwn("linked/${freshIdentifier()}", operation)
}

private fun ControlStep.isReported(session: EntryLink): Boolean {
    val known = state.control.entries[session.entry] ?: return false
    return known.replica == state.replica.self.name && known.relayAddress == session.relayAddress
}

/**
 * Reports linked entries again that the group does not know: a replica that is not admitted yet cannot report any. An
 * entry that has moved to another replica has closed its link here by then.
 */
internal fun ControlStep.reportEntriesAgain() =
    state.entryLinks
        .filterValues { now - it.reportedAt >= REPORT_AGAIN_MILLISECONDS && !isReported(it) }
        .forEach { (link, session) ->
            state = state.copy(entryLinks = state.entryLinks.put(link, session.copy(reportedAt = now)))
            reportLinked(session, fresh = false)
        }

private fun ControlStep.handleSuspectReport(
    entry: String,
    report: EntryToControl.SuspectReport,
) {
    if (!report.convicted) return
    val known = state.control.convictions[report.contentDigest]
    if (known != null && known.crashes >= report.crashes) return
    record(ControlEventCode.CONTENT_CONVICTED, "entry" to entry, "digest" to report.contentDigest)
    val operation = ControlOperation.Convict(report.contentDigest, report.crashes)
    val identifier = "convict/${report.contentDigest}/${report.crashes}"
    propose(identifier, entry, operation, Requester.None, REPEATED_COMMAND_MILLISECONDS)
}

private fun ControlStep.handleCrashReport(
    entry: String,
    report: EntryToControl.CrashReport,
) {
    val requests = report.requests.filter { it.contents.isNotEmpty() }.take(REPORTED_REQUESTS_LIMIT)
    if (requests.isEmpty() && state.control.knowsCrash(report.engine, state.clock(now) - report.age)) return
    record(ControlEventCode.CRASH_REPORTED, "entry" to entry, "engine" to report.engine, "requests" to requests.size)
    val operation = ControlOperation.RecordCrash(report.engine, requests, report.age)
    propose("crash/${freshIdentifier()}", entry, operation, Requester.None, CRASH_REPORT_MILLISECONDS)
}

/** Several entries refute the same suspicion, so what is not under suspicion any more is not proposed. */
private fun ControlStep.handleRefutation(
    entry: String,
    message: EntryToControl.SuspicionsRefuted,
) {
    val suspected =
        state.control
            .questionedSuspects()
            .map { it.content }
            .toSet()
    message.contents.filter { it.content in suspected }.forEach {
        val identifier = "clear/${it.content}"
        if (identifier in state.pending) return@forEach
        val operation = ControlOperation.ClearContents(listOf(it))
        propose(identifier, entry, operation, Requester.None, CRASH_REPORT_MILLISECONDS)
    }
}

private fun ControlStep.handleConfirmationRequest(
    link: Long,
    message: EntryToControl.ConfirmConfiguration,
) {
    val session = state.entryLinks[link] ?: return
    val updated = session.copy(question = message.question, asksGroup = message.asksGroup)
    state = state.copy(entryLinks = state.entryLinks.put(link, updated))
    confirmEntries(listOf(link))
}

private fun ControlStep.updateStatus(
    link: Long,
    status: EntryToControl.EntryStatus,
) {
    val session = state.entryLinks[link] ?: return
    val updated = session.copy(status = status, statusAt = now)
    state = state.copy(entryLinks = state.entryLinks.put(link, updated))
}

internal fun ControlStep.linkClosed(link: Long) {
    val session = state.entryLinks[link] ?: return
    usageLinkClosed(link)
    engineDemandLinkClosed(link)
    val remaining = state.entryLinks.remove(link)
    state = state.copy(entryLinks = remaining, confirmation = state.confirmation.without(link))
    if (remaining.values.none { it.entry == session.entry }) {
        state = state.copy(absentSince = state.absentSince.put(session.entry, now))
    }
    state.explanations.forEach { (number, explanation) -> stopWaitingFor(link, number, explanation) }
}

/**
 * Proposes to mark entries without a link as lost, because no process works on their claims. An entry that only moved
 * has its new link reported by its new replica.
 */
internal fun ControlStep.reportLostEntries() {
    val self = state.replica.self.name
    val linked = state.entryLinks.values.mapTo(HashSet()) { it.entry }
    state.control.entries
        .filter { (entry, presence) -> presence.replica == self && entry !in linked }
        .forEach { (entry, _) ->
            val since = state.absentSince[entry] ?: state.startedAt
            if (now - since >= ENTRY_LOST_MILLISECONDS && "lost/$entry" !in state.pending) {
                record(ControlEventCode.ENTRY_LOST, "entry" to entry)
                proposeOwn("lost/$entry", ControlOperation.EntryLost(entry, self))
            }
        }
}

/**
 * Closes the links of entries when this replica has had no contact with a leader for too long: the entries could
 * neither claim nor receive changes here, while other replicas may have a leader. A replica that is not needed as a
 * voter has no leader either.
 */
internal fun ControlStep.closeLinksWithoutLeader() {
    if (state.replica.leader != null) {
        state = state.copy(leaderContactAt = leaderContactAt())
        return
    }
    if (now - state.leaderContactAt < state.entryReleaseDelay) return
    state.entryLinks
        .filterValues { now - it.openedAt >= state.entryReleaseDelay }
        .forEach { (link, _) -> emit(ControlEffect.CloseLink(link)) }
}

/** A leader does not follow, so it counts the answers of a majority instead. */
private fun ControlStep.leaderContactAt(): Long {
    val replica = state.replica
    val leads = replica.role == ReplicaRole.LEADER
    return if (leads) replica.majorityContactAt ?: now else replica.leaderHeardAt
}

/** Records which entries have not applied the current version, so that status and logs can name them. */
internal fun ControlStep.measureLag() {
    val version = state.control.version
    state.entryLinks.forEach { (link, session) ->
        val behind = (session.status?.appliedVersion ?: version) < version
        val since = session.behindSince
        if (behind && since == null) {
            state = state.copy(entryLinks = state.entryLinks.put(link, session.copy(behindSince = now)))
        } else if (!behind && since != null) {
            state = state.copy(entryLinks = state.entryLinks.put(link, session.copy(behindSince = null)))
        } else if (since != null &&
            now - since in MAXIMUM_LAG_MILLISECONDS until MAXIMUM_LAG_MILLISECONDS + LAG_REPORT_WINDOW_MILLISECONDS
        ) {
            record(ControlEventCode.ENTRY_BEHIND, "entry" to session.entry, "version" to session.status?.appliedVersion)
        }
    }
}

private const val CLAIM_MILLISECONDS = 4_000L

// Entries repeat these commands, so a short deadline only bounds the number of pending ones.
private const val REPEATED_COMMAND_MILLISECONDS = 5_000L

/** The same as the default time after which a silent link closes. */
internal const val MAXIMUM_ENTRY_RELEASE_DELAY_MILLISECONDS = 4_000L

// Longer than the 4 s after which a silent link closes plus a reconnection to another replica.
private const val ENTRY_LOST_MILLISECONDS = 10_000L

// The time within which every entry must apply an accepted configuration.
private const val MAXIMUM_LAG_MILLISECONDS = 7_000L
private const val LAG_REPORT_WINDOW_MILLISECONDS = 500L

// Longer than the 4 s after which a silent link closes.
private const val REPORT_AGAIN_MILLISECONDS = 5_000L

// A later report would be judged against answers that began after the crash.
private const val CRASH_REPORT_MILLISECONDS = 5_000L
private const val REPORTED_REQUESTS_LIMIT = 64
