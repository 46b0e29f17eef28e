package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.protocol.EntryToControl

/** Handles what a linked entry sends. [ControlEvent.EntryMessage.entry] is the name that its handshake proved. */
internal fun ControlStep.entryMessage(event: ControlEvent.EntryMessage) {
    if (state.stopping) return
    val requester = Requester.Entry(event.link)
    when (val message = event.message) {
        is EntryToControl.EntryHello -> hello(event, message)
        is EntryToControl.ClaimRequest ->
            propose(
                message.attemptIdentifier,
                event.entry,
                ControlOperation.Claim(message.key, message.requestDigest),
                requester,
                CLAIM_MILLISECONDS,
            )
        is EntryToControl.OutcomeRecord -> outcome(event.entry, message, requester)
        is EntryToControl.ClaimAbandon ->
            propose(
                "abandon/${message.attemptIdentifier}",
                event.entry,
                ControlOperation.AbandonClaim(message.key, message.attemptIdentifier),
                requester,
                REPEATED_COMMAND_MILLISECONDS,
            )
        is EntryToControl.SuspectReport -> suspect(event.entry, message)
        is EntryToControl.ConfirmConfiguration -> question(event.link, message)
        is EntryToControl.EntryStatus -> status(event.link, message)
        is EntryToControl.ExplainAnswer -> explained(event.link, message)
    }
}

private fun ControlStep.outcome(
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

/** A first hello opens the session; a later one on the same link says that a change did not fit what the entry holds. */
private fun ControlStep.hello(
    event: ControlEvent.EntryMessage,
    hello: EntryToControl.EntryHello,
) {
    val isNew = event.link !in state.entryLinks
    val openedAt = state.entryLinks[event.link]?.openedAt ?: now
    val session = EntryLink(event.entry, hello.availabilityZone, openedAt, heldVersion = hello.appliedVersion)
    state =
        state.copy(
            entryLinks = state.entryLinks.put(event.link, session),
            absentSince = state.absentSince.remove(event.entry),
        )
    if (isNew) {
        record(ControlEventCode.ENTRY_LINKED, "entry" to event.entry, "version" to hello.appliedVersion)
        reportLinked(event.entry, fresh = hello.appliedVersion == 0L)
    }
    sendConvictions(event.link)
    sendDrains(event.link)
    confirmEntries(listOf(event.link))
}

private fun ControlStep.reportLinked(
    entry: String,
    fresh: Boolean,
) {
    val replica = state.replica.self.name
    if (!fresh && state.control.entries[entry]?.replica == replica) return
    proposeOwn("linked/${freshIdentifier()}", ControlOperation.EntryLinked(entry, replica, fresh))
}

private fun ControlStep.suspect(
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

private fun ControlStep.question(
    link: Long,
    message: EntryToControl.ConfirmConfiguration,
) {
    val session = state.entryLinks[link] ?: return
    state = state.copy(entryLinks = state.entryLinks.put(link, session.copy(question = message.question)))
    confirmEntries(listOf(link))
}

private fun ControlStep.status(
    link: Long,
    status: EntryToControl.EntryStatus,
) {
    val session = state.entryLinks[link] ?: return
    val updated = session.copy(status = status, statusAt = now)
    state = state.copy(entryLinks = state.entryLinks.put(link, updated))
}

internal fun ControlStep.linkClosed(link: Long) {
    val session = state.entryLinks[link] ?: return
    val remaining = state.entryLinks.remove(link)
    state = state.copy(entryLinks = remaining, confirmation = state.confirmation.without(link))
    if (remaining.values.none { it.entry == session.entry }) {
        state = state.copy(absentSince = state.absentSince.put(session.entry, now))
    }
    state.questions.forEach { (number, question) -> noAnswerFrom(link, number, question) }
}

/** An entry that is linked to no replica holds claims that nobody works on. One that only moved reports its new link. */
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
 * Entries that are linked to a replica without a leader could neither claim nor learn of changes; others may have one. A
 * replica beyond the voters has none either.
 */
internal fun ControlStep.releaseEntries() {
    val hasLeader = state.replica.leader != null
    val since = state.leaderlessSince ?: now
    state = state.copy(leaderlessSince = if (hasLeader) null else since)
    if (hasLeader || now - since < state.releaseAfter) return
    state.entryLinks
        .filterValues { now - it.openedAt >= state.releaseAfter }
        .forEach { (link, _) -> emit(ControlEffect.CloseLink(link)) }
}

/** Notes which entries do not follow, so that status and logs can name them. */
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
            now - since in BEHIND_MILLISECONDS until BEHIND_MILLISECONDS + MEASURE_MILLISECONDS
        ) {
            record(ControlEventCode.ENTRY_BEHIND, "entry" to session.entry, "version" to session.status?.appliedVersion)
        }
    }
}

private const val CLAIM_MILLISECONDS = 4_000L

// Entries repeat these, so a short life here only bounds what waits.
private const val REPEATED_COMMAND_MILLISECONDS = 5_000L

/** As long as a silent link lasts by default. */
internal const val RELEASE_MILLISECONDS = 4_000L

// Longer than the 4 s after which a silent link closes plus a reconnection to another replica.
private const val ENTRY_LOST_MILLISECONDS = 10_000L

// The time in which an accepted configuration must be in force everywhere.
private const val BEHIND_MILLISECONDS = 7_000L
private const val MEASURE_MILLISECONDS = 500L
