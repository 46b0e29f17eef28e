package hawthorncrank.emulator.internal

import hawthorncrank.common.EventCode
import org.apache.logging.log4j.Level

/** The numbered log events of the emulator. */
internal enum class EmulatorEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : EventCode {
    STARTED(6000, Level.INFO, "stand-ins started"),
    ENGINE_CRASHED(6001, Level.INFO, "engine stand-in crashed by fault injection"),
    COMPLETION_CANCELLED(6002, Level.INFO, "completion cancelled by its caller"),
    FAULT_SET(6003, Level.INFO, "fault injection requested"),
    STOPPED(6004, Level.INFO, "stand-ins stopped"),
}
