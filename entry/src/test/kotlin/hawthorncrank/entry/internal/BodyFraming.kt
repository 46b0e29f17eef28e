package hawthorncrank.entry.internal

/** Writes an answer's headers and body in one of the ways in which HTTP/1.1 marks the end of a body. */
internal enum class BodyFraming(
    val whole: (head: String, body: String) -> String,
    val brokenOff: (head: String, body: String) -> String,
) {
    LENGTH(
        whole = { head, body -> "${head}Content-Length: ${body.length}\r\n\r\n$body" },
        brokenOff = { head, body -> "${head}Content-Length: ${body.length + BodyFraming.MISSING}\r\n\r\n$body" },
    ),
    CHUNKS(
        whole = { head, body -> "${head}${BodyFraming.CHUNKED}${BodyFraming.chunk(body)}${BodyFraming.LAST_CHUNK}" },
        brokenOff = { head, body -> "${head}${BodyFraming.CHUNKED}${BodyFraming.chunk(body)}" },
    ),
    CONNECTION(
        whole = { head, body -> "$head\r\n$body" },
        brokenOff = { head, body -> "$head\r\n$body" },
    ),
    ;

    companion object {
        const val LAST_CHUNK = "0\r\n\r\n"
        private const val CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
        private const val MISSING = 30
        private const val HEXADECIMAL = 16

        private fun chunk(text: String) =
            if (text.isEmpty()) "" else "${text.length.toString(HEXADECIMAL)}\r\n$text\r\n"
    }
}
