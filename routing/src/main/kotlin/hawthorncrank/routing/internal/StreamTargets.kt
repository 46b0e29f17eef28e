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

    companion object {
        fun of(trafficClass: TrafficClass?) =
            StreamTargets(trafficClass?.firstToken?.value, trafficClass?.betweenTokens?.value)
    }
}
