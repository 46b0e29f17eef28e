package hawthorncrank.control.internal

/** What an operations port shows of its process; a null problem means that all is well. */
internal class OperationsPages(
    val healthProblem: () -> String?,
    val readinessProblem: () -> String?,
    val metrics: () -> String,
)
