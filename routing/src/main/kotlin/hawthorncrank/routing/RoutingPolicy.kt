package hawthorncrank.routing

/**
 * Switches for the mechanisms of the router. All are on in the product; the bench and tests switch them off one at a
 * time.
 */
data class RoutingPolicy(
    val choice: ChoiceRule = ChoiceRule.TWO_CHOICES,
    /** Rule R2: lower-tier work does not count against the share of a higher tier. */
    val tierAware: Boolean = true,
    val prefixAffinity: Boolean = true,
    val slowDetection: Boolean = true,
    /** Reported load counts less as it ages; without this, it counts in full at any age. */
    val loadDiscounting: Boolean = true,
    /** Whether part of every engine is kept for the floors of classes. */
    val reservesFloors: Boolean = true,
)

/** How one of several eligible upstreams is chosen. */
enum class ChoiceRule {
    TWO_CHOICES,
    ROUND_ROBIN,
    LEAST_IN_FLIGHT,

    /**
     * The engine from which the first token of a prompt is expected soonest; work without a prompt uses [TWO_CHOICES].
     */
    LEAST_DELAY,
}
