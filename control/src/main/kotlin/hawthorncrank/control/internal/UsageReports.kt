package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.UsageCell
import hawthorncrank.control.UsageCounter
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.UsageCount
import kotlinx.collections.immutable.mutate

/*
 * Collects the counts of the linked entries and proposes those that the applied state does not have. A count stays here
 * until it is applied, and only then the entry is told, so that it sends it to another replica if this one dies.
 */

internal fun ControlStep.askForUsage(link: Long) {
    val rules = state.usage?.rules ?: return
    send(link, ControlToEntry.UsageWanted(rules.window))
}

internal fun ControlStep.handleUsageCounts(
    link: Long,
    message: EntryToControl.UsageCounts,
) {
    val usage = state.usage ?: return
    val clock = usage.clock.hear(link, message.question, message.wallTime, message.trueTime, now)
    state = state.copy(usage = usage.copy(clock = clock, senders = usage.senders.put(message.start, link)))
    send(link, ControlToEntry.UsageTime(message.question, clock.trueTime(now)))
    val cells = message.cells.map { UsageCell(it.window, UsageCounter(message.start, it.organisation), it.count) }
    val (wanted, refused) = cells.partition { mayStillCount(it.window) }
    dropLate(refused)
    val (recorded, fresh) = wanted.partition { state.control.hasRecorded(it) }
    acknowledge(refused + recorded)
    updateUsage { it.copy(waiting = it.waiting.mutate { waiting -> fresh.forEach(waiting::raise) }) }
}

private fun MutableMap<WindowCounter, Long>.raise(cell: UsageCell) {
    merge(WindowCounter(cell.window, cell.counter), cell.count, ::maxOf)
}

/** A window far from the present one comes from a wrong clock and would be kept for ever. */
private fun ControlStep.mayStillCount(window: Long): Boolean {
    val present = checkNotNull(state.usage).rules.windowAt(trueTime())
    val closed = state.control.usage.closedThrough
    return (closed == null || window > closed) && window in present - WINDOWS_BACK..present + WINDOWS_AHEAD
}

private fun ControlState.hasRecorded(cell: UsageCell): Boolean =
    (usage.counted[cell.window]?.get(cell.counter) ?: 0) >= cell.count

private fun ControlStep.dropLate(cells: List<UsageCell>) {
    if (cells.isEmpty()) return
    val requests = cells.sumOf { it.count }
    record(
        ControlEventCode.USAGE_TOO_LATE,
        "cells" to cells.size,
        "requests" to requests,
        "windows" to cells.map { it.window }.distinct().sorted(),
    )
    updateUsage { it.copy(lateCells = it.lateCells + cells.size, lateRequests = it.lateRequests + requests) }
}

private fun ControlStep.acknowledge(cells: List<UsageCell>) {
    val senders = state.usage?.senders ?: return
    cells.groupBy { senders[it.counter.entryStart] }.forEach { (link, own) ->
        if (link == null) return@forEach
        val counts = own.map { UsageCount(it.window, it.counter.organisation, it.count) }
        send(link, ControlToEntry.UsageRecorded(counts))
    }
}

/**
 * Proposes what waits, one command at a time. A command that was lost between the replicas must not hold up the counts after
 * it until the windows are closed, so a new one with all that waits replaces it.
 */
internal fun ControlStep.usageTick() {
    val usage = state.usage ?: return
    updateUsage { it.copy(clock = it.clock.tick(now, state.wallOffset)) }
    val proposing = isPending(usage.command) && now < usage.proposeAt + LOST_PROPOSAL_MILLISECONDS
    if (usage.waiting.isEmpty() || proposing || now < usage.proposeAt) return
    val cells =
        usage.waiting.entries
            .take(CELLS_PER_COMMAND)
            .map { (key, count) -> UsageCell(key.window, key.counter, count) }
    val identifier = "usage/${freshIdentifier()}"
    withdraw(usage.command)
    updateUsage { it.copy(command = identifier, proposeAt = now + PROPOSAL_INTERVAL_MILLISECONDS) }
    proposeOwn(identifier, ControlOperation.RecordUsage(cells))
}

private fun ControlStep.isPending(command: String?) = command != null && command in state.pending

private fun ControlStep.withdraw(command: String?) {
    if (isPending(command)) state = state.copy(pending = state.pending.remove(checkNotNull(command)))
}

/** The applied state has other counts or closed windows than [before], by a command or a snapshot. */
internal fun ControlStep.usageChanged(before: ControlState) {
    val usage = state.usage ?: return
    val after = state.control
    reportClosed(before)
    val cells = usage.waiting.map { (key, count) -> UsageCell(key.window, key.counter, count) }
    val (closed, open) = cells.partition { it.window <= (after.usage.closedThrough ?: Long.MIN_VALUE) }
    val recorded = open.filter { after.hasRecorded(it) }
    val done = closed + recorded
    if (done.isEmpty()) return
    updateUsage { known ->
        known.copy(
            waiting =
                known.waiting.mutate {
                    done.forEach { cell ->
                        it.remove(WindowCounter(cell.window, cell.counter))
                    }
                },
        )
    }
    // What was applied with the count that waits here is no longer in the state after its window was closed.
    dropLate(closed.filterNot { before.hasRecorded(it) })
    acknowledge(done)
}

private fun ControlStep.reportClosed(before: ControlState) {
    if (state.leaderSince == null) return
    val usage = state.control.usage
    usage.closed.filterKeys { it > (before.usage.closedThrough ?: Long.MIN_VALUE) }.forEach { (window, report) ->
        record(
            ControlEventCode.USAGE_WINDOW_CLOSED,
            "window" to window,
            "organisations" to report.counts.size,
            "requests" to report.counts.values.sum(),
        )
    }
}

internal fun ControlStep.usageLinkClosed(link: Long) =
    updateUsage { usage ->
        usage.copy(
            clock = usage.clock.closed(link),
            senders = usage.senders.mutate { senders -> senders.values.removeAll { it == link } },
        )
    }

/** True time, or the time of day while nothing better is known. */
internal fun ControlStep.trueTime(): Long = state.usage?.clock?.trueTime(now) ?: wallTime

internal fun ControlStep.updateUsage(change: (UsageCollection) -> UsageCollection) {
    state = state.copy(usage = state.usage?.let(change))
}

private const val PROPOSAL_INTERVAL_MILLISECONDS = 500L

// Commands are applied within 100 ms if none of their messages is lost.
private const val LOST_PROPOSAL_MILLISECONDS = 500L

// About 80 KB.
private const val CELLS_PER_COMMAND = 2_000

/** Windows older than this are not closed any more after a time without a leader. */
internal const val WINDOWS_BACK = 64L
private const val WINDOWS_AHEAD = 2L
