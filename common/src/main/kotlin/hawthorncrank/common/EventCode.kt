package hawthorncrank.common

import org.apache.logging.log4j.Level

/**
 * A numbered log event. Each module declares its own as an enum, in its range: common 100, entry 1000, entry-core 1500,
 * control 2000, consensus 3000, link 4000, operator 5000, emulator 6000, load 7000, platform 8000.
 * `docs/events.md` lists every number.
 */
interface EventCode {
    val number: Int
    val level: Level
    val text: String
}
