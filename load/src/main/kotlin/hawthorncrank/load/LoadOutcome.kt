package hawthorncrank.load

/**
 * The result of a load run. [correct] means that no answer was wrong and that the queried services ran no call more
 * than once.
 */
class LoadOutcome internal constructor(
    val table: String,
    val correct: Boolean,
)
