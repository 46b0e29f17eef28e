package hawthorncrank.control.internal

import hawthorncrank.control.EntryPresence
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.Relay

/**
 * Answers an entry that cannot reach upstreams with some linked entries of each availability zone. Each entry that asks
 * gets others, so that the load of a zone is spread over those that relay.
 */
internal fun ControlStep.sendRelays(
    link: Long,
    asking: String,
) {
    val relays =
        state.control.entries
            .filter { (entry, presence) -> entry != asking && presence.mayRelay }
            .map { (entry, presence) -> Relay(entry, presence.availabilityZone, presence.relayAddress) }
            .groupBy { it.availabilityZone }
            .flatMap { (_, ofZone) -> ofZone.sortedBy { "$asking ${it.entry}".hashCode() }.take(RELAYS_PER_ZONE) }
    send(link, ControlToEntry.RelayList(relays))
}

private val EntryPresence.mayRelay: Boolean
    get() = replica != null && relayAddress.isNotEmpty()

private const val RELAYS_PER_ZONE = 8
