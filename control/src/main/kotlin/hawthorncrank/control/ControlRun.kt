package hawthorncrank.control

import com.github.ajalt.clikt.core.CliktError
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import hawthorncrank.common.EventLog
import hawthorncrank.common.SettingsFailure
import hawthorncrank.control.internal.ControlEventCode
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CountDownLatch

/** Starts a replica and keeps the process running until SIGTERM or a fatal error of the replica. */
fun runControl(
    log: EventLog,
    start: (onFatalError: () -> Unit) -> Result<Control, SettingsFailure>,
): Nothing {
    val failed = CountDownLatch(1)
    val control = start { failed.countDown() }.getOrElse { throw CliktError(it.message) }
    Runtime.getRuntime().addShutdownHook(
        Thread {
            control.close()
            LogManager.shutdown()
            // After a signal the JVM exits with a non-zero status unless it is halted here.
            Runtime.getRuntime().halt(if (failed.count == 0L) FAILURE_STATUS else 0)
        },
    )
    failed.await()
    log.record(ControlEventCode.STOPPING, "reason" to "the replica had a fatal error")
    throw CliktError("the replica had a fatal error; look for the cause in its log")
}

private const val FAILURE_STATUS = 1
