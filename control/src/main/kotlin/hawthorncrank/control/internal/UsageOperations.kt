package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.UsageReport
import hawthorncrank.control.UsageState
import kotlinx.collections.immutable.persistentMapOf

/** Counts are cumulative, so a report that arrives twice or late changes nothing. */
internal fun ControlState.recordUsage(operation: ControlOperation.RecordUsage): ControlState {
    val open = operation.cells.filter { it.window > (usage.closedThrough ?: Long.MIN_VALUE) }
    val counted =
        open.fold(usage.counted) { windows, cell ->
            val counts = windows[cell.window] ?: persistentMapOf()
            if ((counts[cell.counter] ?: 0) >= cell.count) return@fold windows
            windows.put(cell.window, counts.put(cell.counter, cell.count))
        }
    return copy(usage = usage.copy(counted = counted))
}

internal fun ControlState.closeUsageWindow(operation: ControlOperation.CloseUsageWindow): ControlState {
    if (operation.window <= (usage.closedThrough ?: Long.MIN_VALUE)) return this
    val totals = HashMap<String, Long>()
    usage.counted[operation.window].orEmpty().forEach { (counter, count) ->
        totals.merge(counter.organisation, count, Long::plus)
    }
    val report = UsageReport(totals.toSortedMap())
    return copy(usage = usage.closed(operation.window, report))
}

private fun UsageState.closed(
    window: Long,
    report: UsageReport,
): UsageState {
    val open = counted.keys.filter { it <= window }.fold(counted) { windows, key -> windows.remove(key) }
    val reports = closed.put(window, report)
    val limited = if (reports.size > REPORTS_KEPT) reports.remove(reports.keys.first()) else reports
    return copy(counted = open, closedThrough = window, closed = limited)
}

internal fun ControlState.usageDelivered(operation: ControlOperation.UsageDelivered): ControlState {
    val report = usage.closed[operation.window] ?: return this
    return copy(usage = usage.copy(closed = usage.closed.put(operation.window, report.copy(delivered = true))))
}

/** Reports beyond this number are forgotten, delivered or not. */
private const val REPORTS_KEPT = 720
