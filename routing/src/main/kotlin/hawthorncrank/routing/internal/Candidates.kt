package hawthorncrank.routing.internal

/** The usable upstreams of a target by distance, in a fixed order, and which of them are slow among [slowEngines]. */
internal class Candidates(
    states: List<UpstreamState>,
    slowEngines: SlowEngines,
) {
    val all: List<String> = states.map { it.settings.name }
    val slow: SlowEngines = slowEngines.among(all)
    private val byDistance =
        Distance.entries.map { distance ->
            states.filter { it.distance == distance }.map { it.settings.name }
        }
    private val places: Map<String, ZonePlace> =
        states
            .groupBy { it.settings.availabilityZone }
            .values
            .flatMap(::places)
            .toMap()

    fun at(distance: Distance): List<String> = byDistance[distance.ordinal]

    /**
     * Whether the engine is one of those of its zone that are kept for short prompts and can do the [share] of its work. A
     * larger share adds engines to those of a smaller one, so entries with different shares agree on most engines. Slow
     * engines come last, so that faster ones are kept while there are some.
     */
    fun isForShortPrompts(
        name: String,
        share: Double,
    ): Boolean {
        val place = places[name] ?: return false
        return place.mayBeKept && (place.isFirst || place.middle <= share * place.speedOfZone)
    }

    private fun places(zone: List<UpstreamState>): List<Pair<String, ZonePlace>> {
        val names =
            zone
                .map { it.settings.name }
                .sortedByDescending { PromptDelays.rendezvousRank(0, it) }
                .sortedBy { it in slow }
        val speeds = names.map { 1 / slow.slowdown(it) }
        var before = 0.0
        return names.mapIndexed { rank, name ->
            val place = ZonePlace(rank == 0, rank < names.lastIndex, before + speeds[rank] / 2, speeds.sum())
            before += speeds[rank]
            name to place
        }
    }

    /**
     * The place of an engine in an order of the engines of its zone that all entries compute alike. [middle] is the speed of
     * the engines before it and of half of itself. The last engine of a zone is left to other prompts.
     */
    private class ZonePlace(
        val isFirst: Boolean,
        val mayBeKept: Boolean,
        val middle: Double,
        val speedOfZone: Double,
    )
}
