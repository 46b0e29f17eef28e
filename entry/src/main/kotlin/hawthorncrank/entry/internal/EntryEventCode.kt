package hawthorncrank.entry.internal

import hawthorncrank.common.EventCode
import org.apache.logging.log4j.Level

/** The numbered log events of the entry program. */
internal enum class EntryEventCode(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : EventCode {
    STARTED(1000, Level.INFO, "entry started"),
    READY(1001, Level.INFO, "entry is ready"),
    NOT_READY(1002, Level.WARN, "entry is not ready"),
    STOP_REQUESTED(1003, Level.INFO, "stop requested"),
    STOPPED(1004, Level.INFO, "entry stopped"),
    CONFIGURATION_APPLIED(1005, Level.INFO, "configuration applied"),
    CONTROL_LINK_OPENED(1006, Level.INFO, "control link opened"),
    CONTROL_LINK_CLOSED(1007, Level.WARN, "control link closed"),
    REQUEST_REJECTED(1008, Level.INFO, "request rejected before admission"),
    REDUCER_FAILED(1009, Level.ERROR, "reducer failed to process an event"),
    EFFECT_FAILED(1010, Level.ERROR, "effect could not be executed"),
    POLL_FAILED(1011, Level.DEBUG, "poll of an engine or of the platform failed"),
    ATTEMPT_FAILED(1012, Level.INFO, "attempt to call an upstream failed"),
    EXCHANGE_FAILED(1013, Level.ERROR, "exchange with a caller failed"),
    UPSTREAM_LIST_UNAVAILABLE(1014, Level.WARN, "the platform's list of upstreams cannot be read"),
    UPSTREAM_LIST_RESTORED(1015, Level.INFO, "the platform's list of upstreams can be read again"),
    EVENTS_DELAYED(1016, Level.WARN, "events wait for the control thread"),
    STREAM_ENDED_INSIDE_EVENT(1017, Level.INFO, "a stream from an upstream ended inside an event"),
    CLOSING(1018, Level.INFO, "entry closes its ports"),
    ANSWERS_CUT(1019, Level.WARN, "connections closed before their requests were answered"),
    ANSWER_NOT_USED(1020, Level.INFO, "an upstream's answer was not passed on"),
}
