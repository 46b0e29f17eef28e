package hawthorncrank.control.internal

import java.time.Instant

/** The newest usage reports for operators, oldest first, with the begin of each window if its length is known here. */
internal fun ControlStep.usageLines(newest: Int): List<String> {
    val usage = state.control.usage
    val window = state.usage?.rules?.window
    val reports =
        usage.closed.entries
            .sortedBy { it.key }
            .takeLast(newest.coerceIn(1, WINDOWS_SHOWN))
    if (reports.isEmpty()) return listOf("no window is closed")
    return reports.map { (number, report) ->
        val begin = window?.let { " from ${Instant.ofEpochMilli(number * it)}" }.orEmpty()
        val counts = report.counts.entries.joinToString(", ") { "${it.key} ${it.value}" }
        val delivery = if (report.delivered) "delivered" else "not delivered"
        "window $number$begin, $delivery: ${counts.ifEmpty { "no requests" }}"
    }
}

private const val WINDOWS_SHOWN = 720
