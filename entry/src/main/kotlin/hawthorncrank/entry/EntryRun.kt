package hawthorncrank.entry

import hawthorncrank.common.EventLog
import hawthorncrank.entry.internal.EntryEventCode
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CountDownLatch

/** Keeps the process until SIGTERM, lets everything in flight end, and then ends the process. */
fun runUntilStopped(
    entry: Entry,
    log: EventLog,
): Nothing {
    val finished = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            entry.stop { finished.countDown() }
            finished.await()
            entry.close()
            log.record(EntryEventCode.STOPPED)
            LogManager.shutdown()
            // A process that ended by a signal has a non-zero status unless it halts itself.
            Runtime.getRuntime().halt(0)
        },
    )
    while (true) CountDownLatch(1).await()
}
