package hawthorncrank.operator.internal

/** What the command line prints for an answer, and whether the command succeeded. */
internal class PrintedAnswer(
    val lines: List<String>,
    val succeeded: Boolean,
)
