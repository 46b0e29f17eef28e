package hawthorncrank.link

import hawthorncrank.common.EventCode
import org.apache.logging.log4j.Level

/** Log events of links. */
enum class LinkEventCode(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : EventCode {
    LINK_OPENED(4001, Level.INFO, "link opened"),
    LINK_CLOSED(4002, Level.INFO, "link closed"),
    HANDSHAKE_REFUSED(4003, Level.WARN, "link handshake refused"),
    LISTENER_FAILED(4004, Level.ERROR, "a link message caused an error in its receiver"),
}
