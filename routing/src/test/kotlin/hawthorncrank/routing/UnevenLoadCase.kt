package hawthorncrank.routing

import hawthorncrank.routing.PromptLoads.UNEVEN

/** A load on engines of which a quarter is slow, at entries that see only their own work. */
internal class UnevenLoadCase(
    private val loadName: String,
    private val entriesPerZone: Int,
    private val factor: (StreamKind, Double) -> Double,
) {
    val name = "$loadName, $entriesPerZone entries in each zone"

    fun urgentOnTime(unevenEngines: Boolean): Double {
        val load = UNEVEN.copy(entriesPerZone = entriesPerZone, sharedParts = PARTS, unevenEngines = unevenEngines)
        val slow =
            load.upstreams
                .map { it.name }
                .filterIndexed { index, _ -> index % SLOW_EVERY == 1 }
                .toSet()
        val runs =
            (1L..SEEDS).map { seed ->
                OverloadRun(load, factor, emptyList(), seed, UnevenEngines(slow, seed)::pace)
            }
        val callers = runs.flatMap { it.run() }
        val shares =
            load.kinds.associate { kind ->
                kind.name to
                    onTime(callers.filter { it.kind.name == kind.name })
            }
        val readAgain = runs.map { it.readAgain() }.average()
        println("$name, slow engines known $unevenEngines: on time $shares, read again $readAgain")
        return shares.getValue(load.kinds.minBy { it.pause }.name)
    }

    private fun onTime(callers: List<OverloadCaller>): Double = callers.count { it.onTime } / callers.size.toDouble()

    companion object {
        private const val SEEDS = 2L
        private const val SLOW_EVERY = 4
        private const val PARTS = 50
        private const val BURST = 2.8
        private val BURST_TIME = 10_000.0..19_000.0

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
