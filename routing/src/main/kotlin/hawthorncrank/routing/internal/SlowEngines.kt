package hawthorncrank.routing.internal

/**
 * The engines of a target that are slower than most of their peers, with the time they need relative to the median, computed
 * at [at]. There are none if the engines are about even.
 */
internal class SlowEngines(
    private val slowdowns: Map<String, Double>,
    val at: Long,
) {
    val any: Boolean
        get() = slowdowns.isNotEmpty()

    operator fun contains(name: String): Boolean = name in slowdowns

    /** How many times the work of a usual engine takes on this one. */
    fun slowdown(name: String): Double = slowdowns[name] ?: 1.0

    companion object {
        val NONE = SlowEngines(emptyMap(), 0)

        /** An engine that is full of streams may need this many times as long for a token as one with few. */
        private const val UNEVEN_RATIO = 2.0

        /** An engine that reads prompts between all tokens needs longer than this, whatever its speed. */
        private const val READING_RATIO = 3.0

        /** Engines with a few streams more or less differ by less. */
        private const val USUAL_RATIO = 1.5
        private const val LEAST_USUAL = 2

        /**
         * Compares the engines by the fastest pace that was seen on each with [usual], the fastest on all. Unless most engines
         * reach it, they are all busy, and the paces say nothing about their speed.
         */
        fun among(
            fastest: Map<String, Double>,
            usual: Double,
            now: Long,
        ): SlowEngines {
            val usualEngines = fastest.values.count { it <= USUAL_RATIO * usual }
            if (usualEngines < LEAST_USUAL || usualEngines * 2 <= fastest.size) return SlowEngines(emptyMap(), now)
            val slow = fastest.filterValues { it > UNEVEN_RATIO * usual && it < READING_RATIO * usual }
            return SlowEngines(slow.mapValues { it.value / usual }, now)
        }
    }
}
