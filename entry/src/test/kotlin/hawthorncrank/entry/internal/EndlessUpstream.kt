package hawthorncrank.entry.internal

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Answers each request with [start] and then repeats [rest] until the peer closes the connection. */
internal class EndlessUpstream(
    private val start: String,
    private val rest: String,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val closed = CountDownLatch(1)

    val port: Int = server.localPort

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use(::answer) }
            }
        }
    }

    /** Waits until the peer closes a connection. */
    fun awaitClosed(seconds: Long) = check(closed.await(seconds, TimeUnit.SECONDS)) { "the connection is still open" }

    private fun answer(socket: Socket) {
        socket.getInputStream().read(ByteArray(READ_BYTES))
        val block = rest.repeat(BLOCK_BYTES / rest.length).toByteArray()
        try {
            socket.getOutputStream().write(start.toByteArray())
            while (true) socket.getOutputStream().write(block)
        } catch (_: IOException) {
            closed.countDown()
        }
    }

    override fun close() = server.close()

    private companion object {
        const val BACKLOG = 10
        const val READ_BYTES = 8_192
        const val BLOCK_BYTES = 16_384
    }
}
