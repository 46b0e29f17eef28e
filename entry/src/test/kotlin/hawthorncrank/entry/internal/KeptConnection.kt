package hawthorncrank.entry.internal

import java.io.InputStream
import java.net.Socket

/** A caller's connection to an entry on loopback that stays open between requests. */
internal class KeptConnection(
    port: Int,
) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port).apply { soTimeout = READ_LIMIT_MILLISECONDS }
    private val input: InputStream = socket.getInputStream().buffered()

    fun send(body: String = EntryFixture.UNSTREAMED_CHAT) = write(head(body) + "\r\n" + body)

    /** Sends [body] after the entry's interim answer, as `Expect: 100-continue` announces. */
    fun sendWhenAsked(body: String = EntryFixture.UNSTREAMED_CHAT) {
        write(head(body) + "Expect: 100-continue\r\n\r\n")
        check(readHead().first().split(' ')[1] == "100") { "no interim answer" }
        write(body)
    }

    /** Reads an answer that has a length, and returns its status. */
    fun status(): Int {
        val head = readHead()
        val length = head.first { it.startsWith("content-length:", ignoreCase = true) }.substringAfter(':').trim()
        input.readNBytes(length.toInt())
        return head.first().split(' ')[1].toInt()
    }

    /** Reads everything that arrives until the entry closes the connection. */
    fun rest(): String = input.readAllBytes().decodeToString()

    private fun head(body: String) =
        listOf(
            "POST /v1/chat/completions HTTP/1.1",
            "Host: 127.0.0.1",
            "Authorization: Bearer ${EntryFixture.KEY}",
            "Content-Length: ${body.toByteArray().size}",
        ).joinToString("\r\n", postfix = "\r\n")

    private fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
    }

    private fun readHead(): List<String> = generateSequence(::line).takeWhile { it.isNotEmpty() }.toList()

    private fun line(): String {
        val line = StringBuilder()
        while (true) {
            val byte = input.read()
            check(byte >= 0) { "the connection was closed without an answer" }
            if (byte == '\n'.code) return line.removeSuffix("\r").toString()
            line.append(byte.toChar())
        }
    }

    override fun close() = socket.close()

    private companion object {
        const val READ_LIMIT_MILLISECONDS = 5_000
    }
}
