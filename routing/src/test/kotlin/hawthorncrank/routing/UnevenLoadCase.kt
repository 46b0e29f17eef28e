package hawthorncrank.routing

import hawthorncrank.routing.PromptLoads.UNEVEN

/** A load on engines of which some are slow, usually a quarter, at entries that see only their own work. */
internal class UnevenLoadCase(
    private val loadName: String,
    private val entriesPerZone: Int,
    private val isSlow: (Int) -> Boolean = { it % SLOW_EVERY == 1 },
    private val factor: (StreamKind, Double) -> Double,
) {
    val name = "$loadName, $entriesPerZone entries in each zone"

    /** The share of the most urgent streams on time, if slow engines are found from their reports or not at all. */
    fun urgentOnTime(readsReports: Boolean): Double {
        val load = UNEVEN.copy(entriesPerZone = entriesPerZone, sharedParts = PARTS)
        val slow =
            load.upstreams
                .map { it.name }
                .filterIndexed { index, _ -> isSlow(index) }
                .toSet()
        val runs =
            (1L..SEEDS).map { seed ->
                OverloadRun(load, factor, emptyList(), seed, readsReports, UnevenEngines(slow, seed)::pace)
            }
        val callers = runs.flatMap { it.run() }
        val shares =
            load.kinds.associate { kind ->
                kind.name to
                    onTime(callers.filter { it.kind.name == kind.name })
            }
        val readAgain = runs.map { it.readAgain() }.average()
        println("$name, reports read $readsReports: on time $shares, read again $readAgain")
        return shares.getValue(load.kinds.minBy { it.pause }.name)
    }

    private fun onTime(callers: List<OverloadCaller>): Double = callers.count { it.onTime } / callers.size.toDouble()

    companion object {
        private const val SEEDS = 2L
        private const val SLOW_EVERY = 4
        private const val PARTS = 50
        private const val BURST = 2.8
        private val BURST_TIME = 10_000.0..19_000.0

        /** With so many slow engines, no more load than this can be served in time. */
        private const val LIGHTER = 0.75

        val MANY_SLOW =
            listOf(
                UnevenLoadCase("half of the engines slow", 3, { it % 2 == 0 }) { _, _ -> LIGHTER },
                UnevenLoadCase("three quarters of the engines slow", 3, { it % SLOW_EVERY != 1 }) { _, _ -> LIGHTER },
            )

        val ALL =
            listOf(3, 8).flatMap { entries ->
                listOf(
                    UnevenLoadCase("ordinary load", entries) { _, _ -> 1.0 },
                    UnevenLoadCase("overload of the least urgent class", entries) { kind, now ->
                        if (kind.name == "draft" && now in BURST_TIME) BURST else 1.0
                    },
                )
            }
    }
}
