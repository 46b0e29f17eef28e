package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.protocol.ANONYMOUS_ORGANISATION
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.UsageCount
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet

/*
 * Counts requests for the usage reports and sends the counts to control. Counts are cumulative under an identifier of
 * this start of the process, so that a count that is sent or recorded twice counts once.
 */

/**
 * An upstream began to run the request of [attempt]. The request counts once, whichever of its attempts began first, also
 * if its caller has left or another attempt has replaced this one.
 */
internal fun Reduction.usageBegan(attempt: RunningAttempt) {
    val organisation = attempt.billedTo ?: return
    val usage = state.usage
    if (attempt.requestNumber in usage.begun) return
    state = state.copy(usage = usage.copy(begun = usage.begun.add(attempt.requestNumber)))
    countStart(UnassignedStart(now, organisation))
}

/** An attempt without a first byte may still have begun: its answer had no body, or broke off inside the first event. */
internal fun Reduction.usageEnded(
    attempt: RunningAttempt,
    end: AttemptEnd,
) {
    if (attempt.firstByteAt != null) return
    val began =
        when (end) {
            is AttemptEnd.Completed -> end.accepted
            is AttemptEnd.Broken -> end.bytes > 0
            is AttemptEnd.TimedOut -> end.bytes > 0
            else -> false
        }
    if (began) usageBegan(attempt)
}

private fun Reduction.countStart(start: UnassignedStart) {
    val usage = state.usage
    val length = usage.windowLength
    val offset = usage.trueTime.offset
    val next =
        if (length == null || offset == null) {
            usage.copy(unassigned = usage.unassigned.add(start).newest())
        } else {
            val window = Math.floorDiv(start.at + offset, length)
            usage.change(window, start.organisation) { it.copy(count = it.count + 1) }
        }
    state = state.copy(usage = next)
}

/** Where nobody asks for counts, starts are kept for nothing, so that this must cost little. */
private fun PersistentList<UnassignedStart>.newest(): PersistentList<UnassignedStart> =
    if (size < STARTS_KEPT) this else takeLast(STARTS_KEPT / 2).toPersistentList()

private fun Reduction.assignStarts() {
    val usage = state.usage
    if (usage.unassigned.isEmpty() || usage.windowLength == null || usage.trueTime.offset == null) return
    state = state.copy(usage = usage.copy(unassigned = persistentListOf()))
    usage.unassigned.forEach(::countStart)
}

internal fun Reduction.usageWanted(message: ControlToEntry.UsageWanted) {
    if (message.window <= 0) return
    val usage = state.usage
    if (!usage.wanted) record(EntryDecisionEvent.USAGE_WANTED, "window" to message.window)
    val windows = if (usage.windowLength in listOf(null, message.window)) usage.windows else usage.windows.clear()
    state = state.copy(usage = usage.copy(windowLength = message.window, wanted = true, windows = windows))
    assignStarts()
}

internal fun Reduction.usageTimeAnswered(message: ControlToEntry.UsageTime) {
    val trueTime = message.trueTime ?: return
    val usage = state.usage
    val estimate = usage.trueTime.answered(message.question, trueTime, now)
    if (usage.trueTime.offset == null && estimate.offset != null) {
        record(EntryDecisionEvent.TRUE_TIME_ESTIMATED, "waiting" to usage.unassigned.size)
    }
    state = state.copy(usage = usage.copy(trueTime = estimate))
    assignStarts()
}

internal fun Reduction.usageRecorded(message: ControlToEntry.UsageRecorded) {
    message.cells.forEach { cell ->
        val changed =
            state.usage.changeExisting(cell.window, cell.organisation) {
                it.copy(recorded = maxOf(it.recorded, cell.count))
            }
        state = state.copy(usage = changed)
    }
}

/** The replica of the new link may not know what was sent on the previous one, and may not want counts. */
internal fun Reduction.usageLinkOpened() {
    val usage = state.usage
    val windows =
        usage.windows.mapValues { (_, cells) ->
            cells.mapValues { (_, cell) -> cell.copy(sent = cell.recorded) }.toPersistentMap()
        }
    state = state.copy(usage = usage.copy(wanted = false, sentAt = null, windows = windows.toPersistentMap()))
}

/** Asks for the time again at once, so that few requests begin while it is not known. */
internal fun Reduction.usageInterrupted() {
    val usage = state.usage
    state = state.copy(usage = usage.copy(trueTime = usage.trueTime.interrupted(now)))
    if (usage.wanted && state.controlLink.open) sendUsage()
}

internal fun Reduction.usageTick() {
    purgeBegun()
    val usage = state.usage
    if (!usage.wanted || !state.controlLink.open) return
    val since = usage.sentAt?.let { now - it } ?: Long.MAX_VALUE
    val due = if (hasUnsentUsage()) SENDING_INTERVAL_MILLISECONDS else QUESTION_INTERVAL_MILLISECONDS
    if (since >= due) sendUsage()
}

/**
 * Whether the process should not end yet because control has not recorded all counts. They are sent at once. If the
 * answer does not come soon, the process ends without it, because it may be killed.
 */
internal fun Reduction.usageDelaysStop(idleSince: Long): Boolean {
    val usage = state.usage
    if (!usage.wanted || !state.controlLink.open || usage.allRecorded) return false
    if (hasUnsentUsage()) sendUsage()
    val stopTime = settings.behaviour.stopTime ?: Long.MAX_VALUE
    val killedSoon = now - state.stop.requestedAt >= stopTime - LAST_COUNTS_MILLISECONDS
    return !killedSoon && now - idleSince < LAST_COUNTS_MILLISECONDS
}

private fun Reduction.hasUnsentUsage(): Boolean =
    state.usage.windows.values
        .any { cells -> cells.values.any { it.sent < it.count } }

private fun Reduction.sendUsage() {
    val usage = state.usage
    val cells =
        usage.windows
            .flatMap { (window, cells) ->
                cells.filterValues { it.sent < it.count }.map { (name, cell) -> UsageCount(window, name, cell.count) }
            }.sortedBy { it.window }
            .takeLast(CELLS_PER_MESSAGE)
    val sent =
        cells.fold(usage) { next, cell ->
            next.changeExisting(cell.window, cell.organisation) { it.copy(sent = cell.count) }
        }
    state = state.copy(usage = sent.copy(sentAt = now))
    val trueTime = usage.trueTime.offset?.let { now + it }
    emit(EntryEffect.SendToControl(EntryToControl.UsageCounts(processStart(), now, cells, trueTime)))
}

/** Entries draw their seed anew at each start. */
private fun Reduction.processStart(): String = settings.randomSeed.toULong().toString(Character.MAX_RADIX)

/** Forgets requests that are over: none of their attempts can begin any more. */
private fun Reduction.purgeBegun() {
    val usage = state.usage
    if (now - usage.purgedAt < PURGE_INTERVAL_MILLISECONDS || usage.begun.isEmpty()) return
    val running =
        state.attempts.running.values
            .mapTo(HashSet()) { it.requestNumber }
    val open = usage.begun.filter { it in running || it in state.requests.active }
    state = state.copy(usage = usage.copy(begun = open.toPersistentSet(), purgedAt = now))
}

/** The organisation to which a request counts; null for requests without a key and on the native interface. */
internal val ActiveRequest.billedTo: String?
    get() = request.organisation.takeIf { request.retryPolicy != null && it != ANONYMOUS_ORGANISATION }

private const val SENDING_INTERVAL_MILLISECONDS = 250L
private const val QUESTION_INTERVAL_MILLISECONDS = 1_000L
private const val LAST_COUNTS_MILLISECONDS = 1_000L
private const val PURGE_INTERVAL_MILLISECONDS = 1_000L

// An entry links to control within seconds of its start, so these are far more than begin until then.
private const val STARTS_KEPT = 4_000

// About 60 KB. The rest follows in the next message.
private const val CELLS_PER_MESSAGE = 1_000
