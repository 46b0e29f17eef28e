package hawthorncrank.routing

/** The mechanisms of the router. All are on in the product; the bench and tests switch them off one at a time. */
data class RoutingPolicy(
    val choice: ChoiceRule = ChoiceRule.TWO_CHOICES,
    /** Rule R2: lower-tier work does not count against the share of a higher tier. */
    val tierAware: Boolean = true,
    val prefixAffinity: Boolean = true,
    val slowDetection: Boolean = true,
    /** Without it, reported load counts in full at any age. */
    val loadDiscounting: Boolean = true,
)

/** How one of several eligible upstreams is chosen. */
enum class ChoiceRule {
    TWO_CHOICES,
    ROUND_ROBIN,
    LEAST_IN_FLIGHT,

    /**
     * Each shared prompt part has a home engine among those in reach, which all entries compute alike without telling each
     * other; an engine that has much more work than its peers passes the part to the next in its order.
     */
    PREFIX_HOME,
}
