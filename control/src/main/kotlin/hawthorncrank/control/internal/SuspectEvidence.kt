package hawthorncrank.control.internal

/** Collects the crashes of one content in the order in which they were recorded. */
internal class SuspectEvidence(
    private val depth: Int,
    private val since: Long,
) {
    private val crashes = LinkedHashSet<Long>()
    private val occurrences = LinkedHashSet<Long>()
    private val requests = LinkedHashSet<String>()
    private var latestAt = since

    /** Crashes at almost the same time may have one cause outside the engines, so they count as one. */
    fun add(
        crash: Long,
        at: Long,
        request: String,
    ) {
        occurrences += crash
        requests += request
        if (crashes.isNotEmpty() && at - latestAt < SPACING_MILLISECONDS) return
        crashes += crash
        latestAt = at
    }

    fun suspect(content: String) = Suspect(content, depth, since, latestAt, crashes, requests, occurrences)

    private companion object {
        const val SPACING_MILLISECONDS = 500L
    }
}
