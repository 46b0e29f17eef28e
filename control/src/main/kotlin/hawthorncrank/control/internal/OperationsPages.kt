package hawthorncrank.control.internal

/** The content of the operations port. A null problem means that the process is healthy or ready. */
internal class OperationsPages(
    val healthProblem: () -> String?,
    val readinessProblem: () -> String?,
    val metrics: () -> String,
)
