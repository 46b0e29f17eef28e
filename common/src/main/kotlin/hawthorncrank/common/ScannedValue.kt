package hawthorncrank.common

/** The result of reading a value whose first character is at [start]. */
internal sealed interface ScannedValue {
    val start: Int

    /** [end] is the index after the value, and [next] that of the first character after it that is not white space. */
    class Valid(
        override val start: Int,
        val end: Int,
        val next: Int,
    ) : ScannedValue

    /** The text is not a value. What belongs to it ends at [resumeAt] at the earliest. */
    class Broken(
        override val start: Int,
        val resumeAt: Int,
    ) : ScannedValue
}
