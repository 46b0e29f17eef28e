package hawthorncrank.routing

import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind

/** The properties of a deployment's engines: times in milliseconds, [prefillSpeed] in prompt tokens a millisecond. */
internal data class EngineSheet(
    val name: String,
    val zones: List<Int>,
    val slots: Int,
    val step: Double,
    val prefillSpeed: Double,
    val tokensPerEvent: Int,
    val keptTokens: Int,
    val chunkTokens: Int = 2_048,
) {
    /** The duration of a step in which [running] streams get a token each. */
    fun stepWith(running: Int): Double = step + running * step * SLOWDOWN_WHEN_FULL / slots

    /** The time that the prefill of [tokens] adds to a step. It grows with the tokens of the prompt [before] them. */
    fun prefill(
        tokens: Int,
        before: Int,
    ): Double = tokens / prefillSpeed * (1 + before / TOKENS_THAT_DOUBLE_A_CHUNK)

    private companion object {
        const val SLOWDOWN_WHEN_FULL = 1.5
        const val TOKENS_THAT_DOUBLE_A_CHUNK = 25_000.0
    }
}

/**
 * A class of streams: its prompt, its answer, its targets and deadline in milliseconds and its requests a second over all
 * zones. Engines admit the prompts of an [engineClass] with a lower number first.
 */
internal data class StreamKind(
    val name: String,
    val sharedTokens: Int,
    val ownTokens: Int,
    val events: Int,
    val firstEvent: Long,
    val pause: Long,
    val perSecond: Double,
    val deadline: Long = 15_000,
    val engineClass: Int = 0,
)

/**
 * The load of a deployment: its engines, its streams and the entries of each zone. Each kind of stream has a second class
 * with the same targets, to which [rareTierShare] of its streams belong. Shared parts differ in size by
 * [partSizeDeviation], the standard deviation of their logarithm. The longest answers have [longestAnswer] times the events
 * of the average, and each class has [sharedParts] shared parts.
 */
internal data class PromptLoad(
    val engines: EngineSheet,
    val kinds: List<StreamKind>,
    val entriesPerZone: Int,
    val rareTierShare: Double = 0.05,
    val partSizeDeviation: Double = 0.5,
    val longestAnswer: Double = 5.0,
    val sharedParts: Int = 12,
) {
    val entries: Int = engines.zones.size * entriesPerZone

    val upstreams: List<Upstream> =
        engines.zones.flatMapIndexed { zone, count -> (1..count).map { upstream("engine-$zone-$it", zoneName(zone)) } }

    /** The router of an entry as it is set up for routes. */
    fun router(
        configuration: Configuration,
        entry: Int,
        seed: Long,
    ): Router =
        router(
            configuration,
            RouterLocation(zoneName(zoneOf(entry)), zoneName(zoneOf(entry))),
            entriesPerZone,
            seed,
            RoutingPolicy(choice = ChoiceRule.LEAST_DELAY, reservesFloors = false),
        )

    /** The milliseconds from the entry to the engine. Each zone is in a region of its own. */
    fun delayTo(
        engine: String,
        entry: Int,
    ): Double = if (engine.startsWith("engine-${zoneOf(entry)}-")) 0.0 else ONE_WAY_TO_OTHER_REGION

    private fun zoneOf(entry: Int) = entry / entriesPerZone

    private fun zoneName(zone: Int) = "zone-$zone"

    private fun upstream(
        name: String,
        zone: String,
    ) = Upstream(name, UpstreamKind.ENGINE, "127.0.0.1:1", zone, zone, listOf("model"), slots = engines.slots)

    /** The same load with [factor] times the requests of one class, or of all. */
    fun times(
        factor: Double,
        name: String? = null,
    ) = copy(
        kinds =
            kinds.map {
                if (name == null ||
                    it.name == name
                ) {
                    it.copy(perSecond = it.perSecond * factor)
                } else {
                    it
                }
            },
    )

    private companion object {
        const val ONE_WAY_TO_OTHER_REGION = 20.0
    }
}
