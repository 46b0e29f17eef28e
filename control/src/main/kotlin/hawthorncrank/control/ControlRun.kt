package hawthorncrank.control

import com.github.ajalt.clikt.core.CliktError
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import hawthorncrank.common.EventLog
import hawthorncrank.common.SettingsFailure
import hawthorncrank.control.internal.ControlEventCode
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CountDownLatch

/** Starts a replica and keeps the process until SIGTERM, or until the replica cannot go on. */
fun runControl(
    log: EventLog,
    start: (failed: () -> Unit) -> Result<Control, SettingsFailure>,
): Nothing {
    val failed = CountDownLatch(1)
    val control = start { failed.countDown() }.getOrElse { throw CliktError(it.message) }
    Runtime.getRuntime().addShutdownHook(
        Thread {
            control.close()
            LogManager.shutdown()
            // A process that ends by a signal has a non-zero status unless it halts itself.
            Runtime.getRuntime().halt(if (failed.count == 0L) FAILURE_STATUS else 0)
        },
    )
    failed.await()
    log.record(ControlEventCode.STOPPING, "reason" to "the replica cannot go on")
    throw CliktError("the replica cannot go on; its log names the cause")
}

private const val FAILURE_STATUS = 1
