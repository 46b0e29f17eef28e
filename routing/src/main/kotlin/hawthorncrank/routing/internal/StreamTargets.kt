package hawthorncrank.routing.internal

import hawthorncrank.protocol.TrafficClass

/**
 * The targets of a class in milliseconds, by which placement tells streams apart. Classes that differ in their tier or
 * deadline only have the same prompts, and an entry may see few requests of each.
 */
internal data class StreamTargets(
    val firstToken: Long?,
    val betweenTokens: Long?,
) {
    val pause: Long
        get() = betweenTokens ?: Long.MAX_VALUE

    val firstTokenOrDefault: Long
        get() = firstToken ?: DEFAULT_TARGET_MILLISECONDS

    companion object {
        const val DEFAULT_TARGET_MILLISECONDS = 500L

        fun of(trafficClass: TrafficClass?) =
            StreamTargets(trafficClass?.firstToken?.value, trafficClass?.betweenTokens?.value)
    }
}
