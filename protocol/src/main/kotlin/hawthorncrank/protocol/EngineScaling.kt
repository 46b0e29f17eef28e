package hawthorncrank.protocol

import hawthorncrank.common.Milliseconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The limits within which the engines of a service are ordered. [minimum] and [maximum] bound the engines of each
 * availability zone in [zonePrices], regular and reclaimable ones together. A second of a regular engine costs the price
 * of its zone, and one of a reclaimable engine [reclaimablePrice] of that. A new engine serves after [boot].
 */
@Serializable
data class EngineScaling(
    val minimum: Int,
    val maximum: Int,
    val boot: Milliseconds,
    @SerialName("reclaimable_price")
    val reclaimablePrice: Double,
    @SerialName("zone_prices")
    val zonePrices: Map<String, Double>,
)
