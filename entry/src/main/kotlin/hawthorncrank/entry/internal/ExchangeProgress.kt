package hawthorncrank.entry.internal

/**
 * How far one request and its answer have come on a connection. Confined to the event loop of that connection. The HTTP
 * client ends a body without an error when the writing of its request fails, so the end of a body says nothing about this.
 */
internal class ExchangeProgress {
    var requestWritten = false
    var answerComplete = false
}

/** The connection to an upstream ended before its answer did. */
internal class IncompleteAnswer : RuntimeException("the connection ended before the answer", null, false, false)
