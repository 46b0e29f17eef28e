package hawthorncrank.entry.internal

import java.net.Socket
import java.net.SocketException

/** Calls `/stream/` of an entry over a raw socket, so that a test sees how the answer ended. */
internal object StreamCaller {
    private const val READ_BYTES = 4_096
    private const val CALL_LIMIT_MILLISECONDS = 20_000

    /** Sends the request again until the entry has a configuration. */
    fun receive(
        port: Int,
        version: String,
        header: String = "",
        onText: (String) -> Unit = {},
    ): ReceivedStream =
        generateSequence { receiveOnce(port, version, header, onText) }.first { "no configuration" !in it.text }

    private fun receiveOnce(
        port: Int,
        version: String,
        header: String,
        onText: (String) -> Unit,
    ): ReceivedStream =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = CALL_LIMIT_MILLISECONDS
            val headers = "Host: 127.0.0.1\r\nConnection: close\r\ntest-time: 4000\r\nContent-Length: 2\r\n$header"
            socket.getOutputStream().write("POST /stream/ HTTP/$version\r\n$headers\r\n{}".toByteArray())
            val bytes = StringBuilder()
            val buffer = ByteArray(READ_BYTES)
            try {
                generateSequence { socket.getInputStream().read(buffer).takeIf { it >= 0 } }
                    .forEach { onText(bytes.append(buffer.decodeToString(0, it)).toString()) }
                ReceivedStream(bytes.toString(), reset = false)
            } catch (_: SocketException) {
                ReceivedStream(bytes.toString(), reset = true)
            }
        }
}
