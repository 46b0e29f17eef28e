package hawthorncrank.intents.internal

import hawthorncrank.intents.ConfigurationFailure
import hawthorncrank.intents.ConfigurationFailure.InvalidValue
import hawthorncrank.protocol.RouteService

/** Returns the errors of the limits within which the engines of [service] are ordered. */
internal fun validateScaling(service: RouteService): List<ConfigurationFailure> {
    val scaling = service.scaling ?: return emptyList()
    val field = "route_services.${service.name}.scaling"
    val prices = scaling.zonePrices.values
    return listOfNotNull(
        InvalidValue("$field.maximum", "${scaling.maximum} is out of range", "write 1 to $MAXIMUM_ENGINES")
            .takeIf { scaling.maximum !in 1..MAXIMUM_ENGINES },
        InvalidValue("$field.minimum", "${scaling.minimum} is out of range", "write 0 to the maximum")
            .takeIf { scaling.minimum < 0 || scaling.minimum > scaling.maximum },
        InvalidValue("$field.boot", "${scaling.boot.value} ms is out of range", "write at most one hour")
            .takeIf { scaling.boot.value !in 0..MAXIMUM_BOOT_MILLISECONDS },
        InvalidValue("$field.reclaimable_price", "${scaling.reclaimablePrice} is no price", "write a fraction from 0")
            .takeIf { !scaling.reclaimablePrice.isPrice() },
        InvalidValue("$field.zone_prices", "a zone has no valid price", "write the price of each zone, 0 or higher")
            .takeIf { prices.isEmpty() || prices.any { !it.isPrice() } },
    )
}

private fun Double.isPrice() = isFinite() && this >= 0

private const val MAXIMUM_ENGINES = 1_000
private const val MAXIMUM_BOOT_MILLISECONDS = 3_600_000L
