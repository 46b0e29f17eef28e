package hawthorncrank.routing

/** How long an engine takes at a time for work that takes a number of milliseconds at speed 1. */
internal fun interface EnginePace {
    fun duration(
        now: Double,
        work: Double,
    ): Double
}
