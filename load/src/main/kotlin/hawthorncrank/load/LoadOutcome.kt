package hawthorncrank.load

/** What a run showed: a table to print, and whether every answer was right and every call ran at most once. */
class LoadOutcome internal constructor(
    val table: String,
    val correct: Boolean,
)
