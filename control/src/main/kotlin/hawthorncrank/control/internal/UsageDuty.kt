package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation

/**
 * Closes the oldest window whose time has come. The holder of the usage duty calls this on each tick. Windows are closed
 * one by one, because a window is skipped for ever if the next one is closed before it.
 */
internal fun ControlStep.closeUsageWindows() {
    val usage = state.usage ?: return
    if (state.stopping || state.pending.keys.any { it.startsWith(CLOSE_PREFIX) }) return
    val time = closingTime(usage) ?: return
    val next = nextWindow(usage, time) ?: return
    if (time < usage.rules.closesAt(next)) return
    proposeOwn("$CLOSE_PREFIX$next", ControlOperation.CloseUsageWindow(next))
}

/** The first window ever is the one in which the first request was counted. */
private fun ControlStep.nextWindow(
    usage: UsageCollection,
    time: Long,
): Long? {
    val replicated = state.control.usage
    val next = replicated.closedThrough?.plus(1) ?: replicated.counted.keys.minOrNull() ?: return null
    return maxOf(next, usage.rules.windowAt(time) - WINDOWS_BACK)
}

/**
 * A holder with linked entries waits for its estimate of true time. Without entries it has only its own time of day.
 */
private fun ControlStep.closingTime(usage: UsageCollection): Long? =
    usage.clock.trueTime(now) ?: wallTime.takeIf { usage.senders.isEmpty() }

private const val CLOSE_PREFIX = "close-usage/"
