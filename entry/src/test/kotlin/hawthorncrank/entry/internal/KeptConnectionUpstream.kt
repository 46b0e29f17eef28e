package hawthorncrank.entry.internal

import java.io.InputStream
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Keeps its connections open and writes the bytes that [answer] returns for each request, before it reads the body of the
 * request if it [answersEarly].
 */
internal class KeptConnectionUpstream(
    private val answersEarly: Boolean = false,
    private val answer: (KeptConnectionCall) -> String,
) : AutoCloseable {
    val calls = CopyOnWriteArrayList<KeptConnectionCall>()
    private val connections = CopyOnWriteArrayList<Socket>()
    private val upstream = SocketUpstream(::serve)

    val port: Int = upstream.port

    private fun serve(socket: Socket) {
        connections += socket
        val connection = connections.indexOf(socket) + 1
        generateSequence { readHead(socket.getInputStream()) }.forEachIndexed { index, head ->
            val length = field(head, "content-length").toInt()
            if (!answersEarly) socket.getInputStream().readNBytes(length)
            val call = KeptConnectionCall(connection, index + 1, field(head, RoutedEntryFixture.IDENTIFIER_HEADER))
            calls += call
            socket.getOutputStream().write(answer(call).toByteArray())
            if (answersEarly) socket.getInputStream().readNBytes(length)
        }
    }

    private fun readHead(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = runCatching { input.read() }.getOrDefault(-1)
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        return head.toString()
    }

    private fun field(
        head: String,
        name: String,
    ): String =
        head
            .lines()
            .first { it.startsWith("$name:", ignoreCase = true) }
            .substringAfter(':')
            .trim()

    override fun close() {
        upstream.close()
        connections.forEach { it.close() }
    }
}

/** The request with [identifier] that arrived as number [position] on a connection. Both count from 1. */
internal class KeptConnectionCall(
    val connection: Int,
    val position: Int,
    val identifier: String,
)
