package hawthorncrank.routing

import hawthorncrank.scheduling.WorkTarget

/** Read access to the router's state, for metrics and for checks. */
interface RouterView {
    fun inFlight(upstream: String): Int

    /** The prompt tokens of this entry's attempts that the upstream has not prefilled yet. */
    fun pendingPrefillTokens(upstream: String): Int

    /** The prompt tokens that the upstream of a running attempt had to prefill, 0 if the attempt is not known. */
    fun prefillTokens(attemptNumber: Long): Int

    /** The estimated number of prompt tokens that an engine of [target] prefills in a millisecond. */
    fun prefillSpeed(target: WorkTarget): Double

    /** The time between tokens of this entry's attempts on the upstream that was seen last, in milliseconds. */
    fun tokenInterval(upstream: String): Double?

    /** The fraction of its normal work that the upstream gets now: 1.0, or less while it is slow or recovering. */
    fun speedFactor(upstream: String): Double

    /** The engines that control found slower than others, with how many times as long they take. */
    val slowdowns: Map<String, Double>

    /** How many requests of the shared capacity this entry may have on the upstream now. */
    fun share(
        upstream: String,
        now: Long,
    ): Double

    fun isEligible(upstream: String): Boolean

    /** The upstreams that warm up: this entry has a bound for its requests in progress there. */
    fun warmingUpstreams(now: Long): Set<String>

    fun crossesRegion(upstream: String): Boolean

    fun crossRegionBytes(organisation: String): Long

    /** Number of prompt-prefix blocks in the index. */
    val prefixBlocks: Int
}
