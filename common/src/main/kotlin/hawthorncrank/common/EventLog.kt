package hawthorncrank.common

import org.apache.logging.log4j.LogManager
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
}

/** Creates the log of a running process; [source] names the component in each record. */
fun eventLog(source: String): EventLog {
    val logger = LogManager.getLogger(source)
    return EventLog { event, fields ->
        if (logger.isEnabled(event.level)) {
            val message = StringMapMessage(fields.size + 2)
            message.put("event", event.number.toString())
            message.put("text", event.text)
            fields.forEach { (name, value) -> message.put(name, value.toString()) }
            logger.log(event.level, message)
        }
    }
}
