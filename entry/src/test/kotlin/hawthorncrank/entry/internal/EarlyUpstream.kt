package hawthorncrank.entry.internal

import java.io.IOException
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger

/**
 * Sends [answer] while the upload of a request is still being written. Then it resets the connection if [reset], or
 * ends the answer in order and reads nothing more of the upload.
 */
internal class EarlyUpstream(
    private val answer: String,
    private val reset: Boolean,
) : AutoCloseable {
    val requests = AtomicInteger()
    private val closed = CountDownLatch(1)
    private val upstream = SocketUpstream(::answer)

    val port: Int = upstream.port

    /** The buffers are smaller than the answer, so that the peer has read its head when all of it is written. */
    private fun answer(socket: Socket) {
        socket.receiveBufferSize = BUFFER_BYTES
        socket.sendBufferSize = BUFFER_BYTES
        if (socket.getInputStream().read(ByteArray(READ_BYTES)) < 0) return
        requests.incrementAndGet()
        try {
            socket.getOutputStream().write(answer.toByteArray())
            if (reset) return socket.setSoLinger(true, 0)
            socket.shutdownOutput()
            closed.await()
        } catch (_: IOException) {
            // The peer closed the connection first.
        }
    }

    override fun close() {
        closed.countDown()
        upstream.close()
    }

    private companion object {
        const val BUFFER_BYTES = 16_384
        const val READ_BYTES = 8_192
    }
}
