package hawthorncrank.routing.internal

/** The usable upstreams of a target by distance, in a fixed order. */
internal class Candidates(
    states: List<UpstreamState>,
) {
    val all: List<String> = states.map { it.settings.name }
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
     * Whether the engine is one of the [share] of its zone that is kept for short prompts. A larger share adds engines to
     * those of a smaller one, so entries with different shares agree on most engines. The [slow] engines of a zone come last,
     * so that faster ones are kept while there are some, and the share is one of the work that the engines can do.
     */
    fun isForShortPrompts(
        name: String,
        share: Double,
        slow: SlowEngines,
    ): Boolean {
        val place = places[name] ?: return false
        if (place.zoneSize == 1) return false
        if (slow.any) return isAmongFastest(name, place, share, slow)
        return place.rank < (place.zoneSize * share + 0.5).toInt().coerceIn(1, place.zoneSize - 1)
    }

    private fun isAmongFastest(
        name: String,
        place: ZonePlace,
        share: Double,
        slow: SlowEngines,
    ): Boolean {
        val ranked = place.zone.sortedBy { it in slow }
        val rank = ranked.indexOf(name)
        if (rank == 0 || rank == ranked.lastIndex) return rank == 0
        val speeds = ranked.map { 1 / slow.slowdown(it) }
        return speeds.take(rank).sum() + speeds[rank] / 2 <= share * speeds.sum()
    }

    private fun places(zone: List<UpstreamState>): List<Pair<String, ZonePlace>> {
        val names = zone.map { it.settings.name }.sortedByDescending { PromptDelays.rendezvousRank(0, it) }
        return names.mapIndexed { rank, name -> name to ZonePlace(rank, names) }
    }

    /** The place of an engine in an order of the engines of its zone that all entries compute alike. */
    private class ZonePlace(
        val rank: Int,
        val zone: List<String>,
    ) {
        val zoneSize: Int
            get() = zone.size
    }
}
