package hawthorncrank.entry.internal

/** An upstream's stream contains text that does not continue it. Not a fault of the entry, hence no stack trace. */
internal class InvalidEvent(
    problem: String,
) : RuntimeException("the upstream's stream cannot continue: $problem; check the upstream", null, false, false)

internal const val NO_EVENT = "it contains text that is not an event"
