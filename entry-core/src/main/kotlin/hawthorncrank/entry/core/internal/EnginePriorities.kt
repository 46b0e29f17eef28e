package hawthorncrank.entry.core.internal

import hawthorncrank.protocol.Configuration

/**
 * The priorities that engines get for requests on routes; 1 is the most urgent. Requests are ordered by the tier that
 * applies to them and, within a tier, by the tier of their route: the tier of an organisation would otherwise give all its
 * requests the same priority, and an engine preempts the newest of those.
 */
internal class EnginePriorities(
    private val configured: Set<Urgency> = emptySet(),
) {
    fun priorityOf(urgency: Urgency): Int = configured.count { it < urgency } + 1
}

/** [tier] is the tier of the organisation or, if it has none, of the route. */
internal data class Urgency(
    val tier: Int,
    val routeTier: Int,
) : Comparable<Urgency> {
    override fun compareTo(other: Urgency): Int = compareValuesBy(this, other, Urgency::tier, Urgency::routeTier)
}

/** Numbers the combinations of tiers that can occur without gaps, because engines distinguish few priorities. */
internal fun enginePriorities(configuration: Configuration): EnginePriorities {
    val organisationTiers = configuration.organisations.map { it.tier }.toSet()
    val routeTiers = configuration.routes.map { it.tier }.toSet()
    return EnginePriorities(
        routeTiers.flatMapTo(HashSet()) { routeTier -> organisationTiers.map { Urgency(it ?: routeTier, routeTier) } },
    )
}
