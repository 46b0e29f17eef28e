package hawthorncrank.common

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.appender.CountingNoOpAppender
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.config.xml.XmlConfiguration
import org.junit.jupiter.api.Timeout
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The program must not block on logging when the reader of its log output stops reading. */
class LogQueueTest {
    private val readerResumes = CountDownLatch(1)
    private val firstWrite = CountDownLatch(1)
    private val blockedOutput =
        object : OutputStream() {
            override fun write(byte: Int) = block()

            override fun write(
                bytes: ByteArray,
                from: Int,
                length: Int,
            ) = block()

            private fun block() {
                firstWrite.countDown()
                readerResumes.await()
            }
        }

    @Test
    @Timeout(60)
    fun `records that do not fit the queue are dropped and counted, and logging does not block`() {
        val context = contextWritingTo(blockedOutput)
        val logger = context.getLogger("test")
        logger.log(Level.INFO, "first")
        assertTrue(firstWrite.await(10, TimeUnit.SECONDS), "the output gets the first record")
        repeat(QUEUE_LENGTH + EXCESS) { logger.log(Level.INFO, "record") }
        val dropped = context.configuration.getAppender<CountingNoOpAppender>("dropped").count
        assertEquals(EXCESS.toLong(), dropped)
        readerResumes.countDown()
        context.stop()
    }

    private fun contextWritingTo(output: OutputStream): LoggerContext {
        val before = System.out
        System.setOut(PrintStream(output, true))
        // The log goes to standard output because the logging library reports its own errors to standard error.
        System.setProperty("hawthorncrank.log.target", "SYSTEM_OUT")
        try {
            val context = LoggerContext("log queue")
            val source = checkNotNull(ConfigurationSource.fromResource("log4j2.xml", javaClass.classLoader))
            context.start(XmlConfiguration(context, source))
            return context
        } finally {
            System.setOut(before)
            System.clearProperty("hawthorncrank.log.target")
        }
    }

    private companion object {
        // The buffer size in log4j2.xml.
        const val QUEUE_LENGTH = 2_048
        const val EXCESS = 100
    }
}
