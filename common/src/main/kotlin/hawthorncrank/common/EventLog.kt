package hawthorncrank.common

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.appender.CountingNoOpAppender
import org.apache.logging.log4j.message.StringMapMessage

/** Writes numbered events as structured log records. */
fun interface EventLog {
    fun record(
        event: EventCode,
        fields: Map<String, Any?>,
    )

    fun record(
        event: EventCode,
        vararg fields: Pair<String, Any?>,
    ) = record(event, mapOf(*fields))

    /** The number of records that were not written since the process started. */
    val dropped: Long get() = 0
}

/** Creates the log of a running process; [source] names the component in each record. */
fun eventLog(source: String): EventLog {
    val logger = LogManager.getLogger(source)
    return BoundedEventLog(systemClock(), ::droppedByQueue) { event, fields ->
        if (logger.isEnabled(event.level)) {
            val message = StringMapMessage(fields.size + 2)
            message.put("event", event.number.toString())
            message.put("text", event.text)
            fields.forEach { (name, value) -> message.put(name, value.toString()) }
            logger.log(event.level, message)
        }
    }
}

private fun droppedByQueue(): Long = droppedAppender?.count ?: 0

/** Null if the logging library uses another configuration. */
private val droppedAppender: CountingNoOpAppender? by lazy {
    (LogManager.getContext(false) as? LoggerContext)?.configuration?.getAppender(DROPPED_APPENDER)
}

/** The appender in `log4j2.xml` that receives the records that do not fit the queue. */
private const val DROPPED_APPENDER = "dropped"
