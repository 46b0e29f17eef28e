package hawthorncrank.load.internal

import hawthorncrank.common.EventCode
import org.apache.logging.log4j.Level

/** The numbered log events of the load tool. */
internal enum class LoadEventCode(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : EventCode {
    STARTED(7000, Level.INFO, "load run started"),
    ENDED(7001, Level.INFO, "load run ended"),
    WRONG_ANSWER(7002, Level.ERROR, "an answer did not match the complete expected answer"),
    NOT_SENT(7003, Level.WARN, "a request was not sent because too many were in flight"),
}
