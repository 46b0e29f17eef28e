package hawthorncrank.entry.core

/**
 * The part of an entry's own settings that its decisions depend on. [zoneEntries] includes this entry's name; [regions]
 * gives the region of each availability zone that may contain listed upstreams. [relayAddress] is where the entry accepts
 * requests from other entries; without it, the entry relays none and lets none be relayed.
 */
data class EntrySettings(
    val name: String,
    val availabilityZone: String,
    val region: String,
    val zoneEntries: List<String>,
    val randomSeed: Long,
    val regions: Map<String, String> = emptyMap(),
    val behaviour: EntryBehaviour = EntryBehaviour(),
    val relayAddress: String? = null,
)
