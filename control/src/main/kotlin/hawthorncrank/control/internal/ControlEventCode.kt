package hawthorncrank.control.internal

import hawthorncrank.common.EventCode
import org.apache.logging.log4j.Level

/** The log events of a control process; `docs/events.md` says what to do about each. */
internal enum class ControlEventCode(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : EventCode {
    STARTED(2001, Level.INFO, "control replica started"),
    STOPPING(2002, Level.INFO, "control replica stopping"),
    STOPPED(2003, Level.INFO, "control replica stopped"),
    BECAME_LEADER(2010, Level.INFO, "this replica became the leader"),
    BECAME_FOLLOWER(2011, Level.INFO, "this replica became a follower"),
    CONFIGURATION_CHANGED(2020, Level.INFO, "configuration version applied"),
    PLAN_RETURNED(2021, Level.INFO, "timed plan has ended and is reverted"),
    OPERATOR_COMMAND(2030, Level.INFO, "operator command"),
    OPERATOR_REFUSED(2031, Level.WARN, "operator credential refused"),
    COMMAND_EXPIRED(2032, Level.WARN, "command was not applied before its deadline"),
    ENTRY_LINKED(2040, Level.INFO, "entry linked"),
    ENTRY_LOST(2041, Level.WARN, "entry lost its link to this replica"),
    ENTRY_BEHIND(2042, Level.WARN, "entry has not applied the current configuration version"),
    CONTENT_CONVICTED(2050, Level.WARN, "entry convicted a request content that crashed engines"),
    CRASH_REPORTED(2051, Level.INFO, "entry reported an engine that crashed with requests in flight"),
    CONVICTION_ADDED(2052, Level.WARN, "request content is convicted"),
    ORDER_POSTED(2060, Level.INFO, "order sent to an engine"),
    ORDER_ENDED(2061, Level.INFO, "order to an engine ended"),
    UPSTREAM_LIST_UNAVAILABLE(2065, Level.WARN, "the platform's list of upstreams cannot be read"),
    UPSTREAM_LIST_RESTORED(2066, Level.INFO, "the platform's list of upstreams is read again"),
    DUTIES_TAKEN(2080, Level.INFO, "this replica holds the duties at the platform"),
    DUTIES_LOST(2081, Level.INFO, "this replica no longer holds the duties at the platform"),
    DUTY_CALL_SENT(2082, Level.INFO, "call of a duty sent to the platform"),
    DUTY_ANSWERED(2083, Level.INFO, "the platform answered a call of a duty"),
    DUTY_REFUSED(2084, Level.WARN, "the platform refused a call of a duty"),
    DUTY_UNANSWERED(2085, Level.WARN, "a call of a duty got no answer"),
    STORAGE_FAILED(2070, Level.ERROR, "data folder failed; the replica stops"),
    REDUCER_FAILED(2071, Level.ERROR, "processing an event failed; the replica stops"),
    EFFECT_FAILED(2072, Level.ERROR, "an effect could not be carried out"),
    MESSAGE_REFUSED(2073, Level.WARN, "message type is not allowed for the role of its sender"),
    HAND_OVER_UNFINISHED(2074, Level.WARN, "this replica stops although no other has taken its place yet"),
    ENGINES_ORDERED(2086, Level.INFO, "a number of engines was decided and is ordered from the platform"),
    DUTY_UNKNOWN(2087, Level.WARN, "the settings name a duty that this program does not know"),
    SLOW_ENGINES(2088, Level.INFO, "the engines that are slower than others of their service changed"),
    USAGE_WINDOW_CLOSED(2090, Level.INFO, "usage window closed"),
    USAGE_TOO_LATE(2091, Level.WARN, "counts of requests came after their window was closed"),
}
