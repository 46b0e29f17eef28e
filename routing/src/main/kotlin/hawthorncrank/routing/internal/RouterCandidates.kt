package hawthorncrank.routing.internal

import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.scheduling.WorkTarget
import kotlinx.collections.immutable.toPersistentHashMap

/** At least three quarters of a small zone remain shared capacity. */
private const val LARGEST_FLOOR_FRACTION = 0.25

/** The state with the usable upstreams by target, and the shares that follow from them. */
internal fun RouterState.withCandidates(): RouterState {
    val usable = upstreams.values.filter { it.usable }.sortedBy { it.settings.name }
    val byTarget =
        usable
            .flatMap { state ->
                targetsOf(state.settings).map { it to state }
            }.groupBy({ it.first }, { it.second })
    val inZone = usable.filter { it.distance == Distance.ZONE && it.settings.kind == UpstreamKind.ENGINE }
    val floorSlots = classes.values.sumOf { maxOf(1, it.floorSlots) } * liveEntries
    val slots = inZone.sumOf { it.slots }
    return copy(
        candidates = byTarget.mapValues { (_, states) -> Candidates(states, slowEngines) }.toPersistentHashMap(),
        zonesSharing = Distance.entries.map { zonesWithin(it) },
        floorFraction = floorFraction(floorSlots, slots),
    )
}

private fun RouterState.floorFraction(
    floorSlots: Int,
    slots: Int,
): Double {
    if (slots == 0 || !policy.reservesFloors) return 0.0
    return minOf(LARGEST_FLOOR_FRACTION, floorSlots.toDouble() / slots)
}

/** How many availability zones, this one included, have upstreams within the distance. */
private fun RouterState.zonesWithin(distance: Distance): Int {
    val zones = upstreams.values.filter { it.distance <= distance }.map { it.settings.availabilityZone }
    return (zones + location.availabilityZone).distinct().size
}

internal fun RouterState.distance(settings: Upstream): Distance =
    when {
        settings.availabilityZone == location.availabilityZone -> Distance.ZONE
        settings.region == location.region -> Distance.REGION
        else -> Distance.OTHER_REGION
    }

internal fun targetsOf(settings: Upstream): List<WorkTarget> =
    when (settings.kind) {
        UpstreamKind.ENGINE -> settings.models.map { WorkTarget.Model(it) }
        UpstreamKind.SERVICE -> listOfNotNull(settings.service?.let { WorkTarget.Service(it) })
    }
