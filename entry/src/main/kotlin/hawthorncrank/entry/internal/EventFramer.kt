package hawthorncrank.entry.internal

/**
 * Splits a stream of server-sent events at event boundaries, so that a caller never has an incomplete event when a
 * stream breaks and is resumed or ends with an error. Buffers at most [MAXIMUM_EVENT_BYTES]; a longer chat completion
 * event is sent in parts. [precedingIdentifier] is the identifier of the event that a resumed stream continues after.
 */
internal class EventFramer(
    private val framing: StreamFraming = StreamFraming.CompletionEvents,
    precedingIdentifier: String? = null,
) {
    private val numbered = NumberedEvents(precedingIdentifier)
    private var contents = 0
    private var buffer = ByteArray(0)

    // The buffered bytes belong to one event that is not complete.
    private var buffered = 0
    private var insideLongEvent = false
    private var lastField = ""

    /** The number of events with text or, in numbered streams, with an identifier. Engines send one event per token. */
    val tokens: Int get() = contents + numbered.count

    /** The identifier of the newest complete event, or null if events have none. */
    val lastEventIdentifier: String? get() = numbered.lastIdentifier

    /** Why the stream cannot continue, or null. Nothing is accepted after it. */
    var fault: InvalidEvent? = null
        private set

    /** The number of bytes received of an event that is not complete. */
    val unfinishedBytes: Int get() = buffered

    /**
     * Whether the stream may end here: for chat completions, whether the last field is the end marker. A numbered stream
     * has no end marker, so the end of its body counts only after an event, and not inside one.
     */
    val done: Boolean
        get() =
            when (framing) {
                StreamFraming.CompletionEvents -> lastField.trim() == "data: [DONE]"
                StreamFraming.NumberedEvents -> tokens > 0 && unfinishedBytes == 0
            }

    /** Returns the complete events that [bytes] ends or contains, up to the first one that is invalid. */
    fun accept(bytes: ByteArray): ByteArray {
        if (fault != null) return NOTHING
        val searched = buffered
        append(bytes)
        val end = endOfCompleteEvents(searched)
        if (end > 0) return inspect(take(end))
        return if (buffered <= MAXIMUM_EVENT_BYTES) NOTHING else acceptLong()
    }

    fun remainder(): ByteArray = take(buffered)

    /** Doubles the buffer when it is full, so that many small chunks are not copied again for each one. */
    private fun append(bytes: ByteArray) {
        val needed = buffered + bytes.size
        if (needed > buffer.size) buffer = buffer.copyOf(maxOf(needed, 2 * buffer.size))
        bytes.copyInto(buffer, buffered)
        buffered = needed
    }

    private fun take(count: Int): ByteArray {
        val taken = buffer.copyOfRange(0, count)
        buffer = buffer.copyOfRange(count, buffered)
        buffered = buffer.size
        return taken
    }

    /** A numbered stream is resumed after an event and not inside one, so a part of an event is never sent. */
    private fun acceptLong(): ByteArray {
        if (framing == StreamFraming.NumberedEvents) {
            fault = InvalidEvent("an event is longer than $MAXIMUM_EVENT_BYTES bytes")
            return NOTHING
        }
        insideLongEvent = true
        return take(buffered).also { countContents(it.toString(Charsets.ISO_8859_1)) }
    }

    /** Returns the leading events that are valid. */
    private fun inspect(events: ByteArray): ByteArray {
        // One character for each byte, so that lengths are the same.
        val text = events.toString(Charsets.ISO_8859_1)
        var start = 0
        for (end in ends(text)) {
            val event = text.substring(start, end)
            fault = if (framing == StreamFraming.NumberedEvents) numbered.accept(event) else acceptCompletion(event)
            if (fault != null) return events.copyOf(start)
            start = end
        }
        return events
    }

    private fun acceptCompletion(event: String): InvalidEvent? {
        val fields = fieldsOf(event)
        if (!insideLongEvent && !fields.all(::isField)) return InvalidEvent(NO_EVENT)
        insideLongEvent = false
        countContents(event)
        lastField = fields.lastOrNull() ?: lastField
        return null
    }

    private fun countContents(text: String) {
        var position = text.indexOf(CONTENT)
        while (position >= 0) {
            contents += 1
            position = text.indexOf(CONTENT, position + CONTENT.length)
        }
    }

    private fun ends(text: String): Sequence<Int> =
        EVENT_END.findAll(text).map { it.range.last + 1 }.filter { it < text.length } + text.length

    /** Searches the buffer from [searched] on. */
    private fun endOfCompleteEvents(searched: Int): Int {
        for (index in buffered - 1 downTo maxOf(1, searched)) {
            if (buffer[index] == LINE_FEED && endsLine(buffer, index - 1)) return index + 1
        }
        return 0
    }

    private fun endsLine(
        bytes: ByteArray,
        index: Int,
    ): Boolean =
        bytes[index] == LINE_FEED ||
            (index > 0 && bytes[index] == CARRIAGE_RETURN && bytes[index - 1] == LINE_FEED)

    private companion object {
        const val MAXIMUM_EVENT_BYTES = 1 shl 20
        const val CONTENT = "\"content\":"
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()
        val EVENT_END = Regex("\n\r?\n")
        val NOTHING = ByteArray(0)
    }
}

/** The format of the events of a stream and the way in which a complete stream ends. */
internal enum class StreamFraming {
    /** Chat completion chunks; a complete answer ends with the line "data: [DONE]". */
    CompletionEvents,

    /** Events with increasing identifiers; a complete answer ends with the end of the HTTP body, after an event. */
    NumberedEvents,
}
