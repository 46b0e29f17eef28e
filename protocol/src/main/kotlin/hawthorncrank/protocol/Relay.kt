package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/** An entry that accepts requests at [address] from other entries, for callers whose entry cannot reach upstreams. */
@Serializable
data class Relay(
    val entry: String,
    val availabilityZone: String,
    val address: String,
)
