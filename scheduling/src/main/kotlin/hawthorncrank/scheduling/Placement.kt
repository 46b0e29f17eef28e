package hawthorncrank.scheduling

/**
 * The functions by which the scheduler chooses upstreams. The routing state is passed from call to call, so that each
 * placement takes the earlier ones of the same dispatch into account. [place] records the started work in the routing
 * state that it returns; [release] removes a preempted request from it.
 */
class Placement<Routing>(
    val place: (Routing, PlacementQuestion) -> PlacementAnswer<Routing>,
    val release: (Routing, Long) -> Routing,
)

/**
 * Asks for an upstream for [work]. [preemptableTier] gives the lowest tier (the highest number) of work that this entry
 * could preempt on an upstream, or null; a placement that needs preemption prefers the upstream where this tier is
 * lowest. [likelyMaximumTokens] is an output length that nearly all answers of the same class or organisation stay
 * below; a slow upstream must be able to produce it before the deadline.
 */
class PlacementQuestion(
    val work: QueuedWork,
    val tier: Int,
    val capacity: CapacityKind,
    val preemptableTier: (String) -> Int?,
    val likelyMaximumTokens: Int? = null,
)

/**
 * The capacity that a request runs on: the part that all classes share by tier, or the floor reserved for its class.
 */
enum class CapacityKind { SHARED, FLOOR }

sealed interface PlacementAnswer<out Routing> {
    /** [overcommitted] is true if work of lower tiers makes this placement exceed the entry's share of the upstream. */
    data class Placed<Routing>(
        val upstream: String,
        val overcommitted: Boolean,
        val routing: Routing,
    ) : PlacementAnswer<Routing>

    /** No upstream of the target has room for this tier, so other requests of the tier cannot be placed either. */
    data object NoRoom : PlacementAnswer<Nothing>

    /** This request cannot be placed now, for instance because of its excluded upstreams, but others might be. */
    data object RequestNotPlaceable : PlacementAnswer<Nothing>
}
