package hawthorncrank.routing

/** [share] of the engines crash [at] a time in milliseconds and start again after [down]. */
internal class EngineCrash(
    val at: Double,
    val share: Double,
    val down: Double,
)
