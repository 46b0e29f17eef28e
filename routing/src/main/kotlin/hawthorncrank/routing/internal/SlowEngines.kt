package hawthorncrank.routing.internal

/** The engines that are slower than others of their service, with the time they need for the same work relative to the faster ones. */
internal class SlowEngines(
    val slowdowns: Map<String, Double>,
) {
    val any: Boolean
        get() = slowdowns.isNotEmpty()

    val count: Int
        get() = slowdowns.size

    operator fun contains(name: String): Boolean = name in slowdowns

    /** How many times the work of a usual engine takes on this one. */
    fun slowdown(name: String): Double = slowdowns[name] ?: 1.0

    /** Those among [names]. */
    fun among(names: List<String>): SlowEngines = if (any) SlowEngines(slowdowns.filterKeys { it in names }) else this

    companion object {
        val NONE = SlowEngines(emptyMap())
    }
}
