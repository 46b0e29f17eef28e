package hawthorncrank.intents

import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.NamedChanges
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass

/**
 * The plan's configuration change as a delta on [baseVersion], which may be newer than the plan's own base in an undo.
 */
fun PlanChange.deltaOn(baseVersion: Long) =
    ConfigurationDelta(
        baseVersion = baseVersion,
        version = baseVersion + 1,
        classes = NamedChanges(changed = classes.map { it.after }),
        organisations = NamedChanges(changed = organisations.map { it.after }),
    )

/** Whether the plan changes the configuration itself and not only which upstreams drain. */
val PlanChange.changesConfiguration: Boolean
    get() = classes.isNotEmpty() || organisations.isNotEmpty()

/**
 * Computes the change that undoes this one on [current]. A value that another operator changed in the meantime is
 * left as it is, and an item that was removed stays removed.
 */
fun PlanChange.reversedOn(
    current: Configuration,
    drains: Set<String>,
): PlanChange {
    val currentClasses = current.classes.associateBy { it.name }
    val currentOrganisations = current.organisations.associateBy { it.name }
    return PlanChange(
        classes =
            classes.mapNotNull { change ->
                val now = currentClasses[change.after.name] ?: return@mapNotNull null
                ClassChange(now, reversed(now, change)).takeIf { it.before != it.after }
            },
        organisations =
            organisations.mapNotNull { change ->
                val now = currentOrganisations[change.after.name] ?: return@mapNotNull null
                OrganisationChange(now, reversed(now, change)).takeIf { it.before != it.after }
            },
        drains =
            this.drains
                .filter { it.draining == (it.upstream in drains) }
                .map { DrainChange(it.upstream, !it.draining) },
    )
}

private fun reversed(
    now: TrafficClass,
    change: ClassChange,
) = now.copy(
    tier = if (now.tier == change.after.tier) change.before.tier else now.tier,
    floorSlots = if (now.floorSlots == change.after.floorSlots) change.before.floorSlots else now.floorSlots,
)

private fun reversed(
    now: Organisation,
    change: OrganisationChange,
): Organisation {
    if (now.requestsPerSecond != change.after.requestsPerSecond) return now
    return now.copy(requestsPerSecond = change.before.requestsPerSecond)
}
