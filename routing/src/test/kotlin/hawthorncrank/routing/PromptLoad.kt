package hawthorncrank.routing

/** The properties of a deployment's engines: times in milliseconds, [prefillSpeed] in prompt tokens a millisecond. */
internal data class EngineSheet(
    val name: String,
    val zones: List<Int>,
    val slots: Int,
    val step: Double,
    val prefillSpeed: Double,
    val tokensPerEvent: Int,
    val keptTokens: Int,
)

/** A class of streams: its prompt, its answer, its targets in milliseconds and its requests a second over all zones. */
internal data class StreamKind(
    val name: String,
    val sharedTokens: Int,
    val ownTokens: Int,
    val events: Int,
    val firstEvent: Long,
    val pause: Long,
    val perSecond: Double,
)

/**
 * The load of a deployment: its engines, its streams and the entries of each zone. Each kind of stream has a second class
 * with the same targets, to which [rareTierShare] of its streams belong. Shared parts differ in size by
 * [partSizeDeviation], the standard deviation of their logarithm.
 */
internal data class PromptLoad(
    val engines: EngineSheet,
    val kinds: List<StreamKind>,
    val entriesPerZone: Int,
    val rareTierShare: Double = 0.05,
    val partSizeDeviation: Double = 0.5,
) {
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
}
