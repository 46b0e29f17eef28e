package hawthorncrank.common

import org.apache.logging.log4j.Level

/** Log events about the logging itself. */
internal enum class LogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : EventCode {
    RECORDS_DROPPED(100, Level.WARN, "log records were dropped"),
}
