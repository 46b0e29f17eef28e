package hawthorncrank.entry.internal

/**
 * Checks the events of a numbered stream: each one has an identifier, which is higher than the one before it. An
 * upstream's error or the start of another stream is thus not taken for the next event.
 */
internal class NumberedEvents(
    private val precedingIdentifier: String?,
) {
    /** The number of events that were accepted. */
    var count = 0
        private set

    /** The identifier of the newest event that was accepted. */
    var lastIdentifier: String? = null
        private set

    /** Accepts [event] if it continues the stream; otherwise returns what is wrong with it. */
    fun accept(event: String): InvalidEvent? {
        val fields = fieldsOf(event)
        if (fields.isEmpty()) return null
        val identifiers = fields.filter { it.startsWith(IDENTIFIER) }.map { it.removePrefix(IDENTIFIER).trim() }
        val identifier = identifiers.firstOrNull()
        val problem =
            when {
                !fields.all(::isField) -> NO_EVENT
                identifier == null -> "an event has no identifier"
                identifiers.size > 1 -> "event $identifier contains another event"
                !follows(identifier) -> "event $identifier does not follow event ${newest()}"
                else -> null
            }
        if (problem != null) return InvalidEvent(problem)
        count += 1
        lastIdentifier = identifier
        return null
    }

    private fun newest(): String? = lastIdentifier ?: precedingIdentifier

    private fun follows(identifier: String): Boolean {
        val number = identifier.toLongOrNull() ?: return true
        return number > (newest()?.toLongOrNull() ?: return true)
    }

    private companion object {
        const val IDENTIFIER = "id:"
    }
}
