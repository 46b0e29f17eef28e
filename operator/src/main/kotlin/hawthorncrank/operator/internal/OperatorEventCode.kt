package hawthorncrank.operator.internal

import hawthorncrank.common.EventCode
import org.apache.logging.log4j.Level

/** The events that the command line shows with `--verbose`. */
internal enum class OperatorEventCode(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : EventCode {
    COMMAND_SENT(5001, Level.INFO, "command sent to a control replica"),
    REPLICA_SILENT(5002, Level.WARN, "control replica did not answer"),
    COMMAND_RESENT(5003, Level.INFO, "command sent again to another replica under the same identifier"),
}
