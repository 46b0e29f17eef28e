package hawthorncrank.entry.internal

/** What a caller received until its connection ended, by a [reset] or properly. */
internal class ReceivedStream(
    val text: String,
    private val reset: Boolean,
) {
    private val chunked = "transfer-encoding: chunked" in text.lowercase()
    private val body = text.substringAfter("\r\n\r\n")
    private val succeeded = text.substringBefore("\r\n").contains(" 200 ")
    val complete = succeeded && !reset && (!chunked || body.endsWith(BodyFraming.LAST_CHUNK))
    val events = if (chunked) body.replace(Regex("(^|\r\n)[0-9a-f]+\r\n"), "").replace("\r\n", "") else body
}
