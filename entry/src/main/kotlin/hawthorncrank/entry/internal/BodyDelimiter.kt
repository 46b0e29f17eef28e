package hawthorncrank.entry.internal

/** What marks the end of an HTTP body: its length, its last chunk, or the end of its connection. */
internal enum class BodyDelimiter { LENGTH, CHUNKS, CONNECTION }
