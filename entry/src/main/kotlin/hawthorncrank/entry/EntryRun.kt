package hawthorncrank.entry

import hawthorncrank.common.EventLog
import hawthorncrank.entry.internal.EntryEventCode
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CountDownLatch

/** Blocks until SIGTERM, waits until the requests in flight have ended, and then exits the process. */
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
            // Without halt(0), a process that ends on a signal exits with a non-zero status.
            Runtime.getRuntime().halt(0)
        },
    )
    while (true) CountDownLatch(1).await()
}
