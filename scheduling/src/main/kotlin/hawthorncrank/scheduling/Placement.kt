package hawthorncrank.scheduling

/**
 * How the scheduler asks for an upstream. Routing state is passed through, so that each placement sees those before it
 * in the same dispatch. [place] records the started work in the routing state that it returns; [release] takes a
 * preempted request out of it.
 */
class Placement<Routing>(
    val place: (Routing, PlacementQuestion) -> PlacementAnswer<Routing>,
    val release: (Routing, Long) -> Routing,
)

/**
 * Asks for an upstream for [work]. [preemptableTier] gives the lowest tier (the highest number) of work that this entry
 * could preempt on an upstream, or null; placement that needs preemption prefers the upstream with the lowest.
 * [likelyMaximumTokens] is a length that nearly all answers of its kind stay below; slow upstreams must fit it in time.
 */
class PlacementQuestion(
    val work: QueuedWork,
    val tier: Int,
    val capacity: CapacityKind,
    val preemptableTier: (String) -> Int?,
    val likelyMaximumTokens: Int? = null,
)

/** Which capacity a request runs on: what all classes share by tier, or the floor that its class owns. */
enum class CapacityKind { SHARED, FLOOR }

sealed interface PlacementAnswer<out Routing> {
    /** [overcommitted] says that the entry's share of the upstream is exceeded by work of lower tiers. */
    data class Placed<Routing>(
        val upstream: String,
        val overcommitted: Boolean,
        val routing: Routing,
    ) : PlacementAnswer<Routing>

    /** No upstream of the target has room for this tier. Other requests of the same tier would fail too. */
    data object NoRoom : PlacementAnswer<Nothing>

    /** This request cannot be placed now, while others might, for instance because of its exclusions. */
    data object RequestNotPlaceable : PlacementAnswer<Nothing>
}
