package hawthorncrank.intents.internal

import hawthorncrank.intents.ClassChange
import hawthorncrank.intents.PlanChange
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind

/** One line for each value that the plan changes. */
internal fun describeChange(change: PlanChange): List<String> =
    change.classes.flatMap(::describe) +
        change.organisations.map {
            "organisation ${it.after.name}: requests_per_second ${it.before.requestsPerSecond} -> " +
                "${it.after.requestsPerSecond}"
        } +
        change.drains.map { "upstream ${it.upstream}: ${if (it.draining) "drains" else "takes work again"}" }

/**
 * The cost of the plan for others: classes that lose precedence, callers that are limited, peers that take over work.
 */
internal fun describeCostForOthers(
    change: PlanChange,
    configuration: Configuration,
): List<String> {
    val lines = classCosts(change, configuration) + limitCosts(change) + drainCosts(change, configuration)
    return lines.ifEmpty { listOf("none") }
}

private fun classCosts(
    change: PlanChange,
    configuration: Configuration,
): List<String> {
    val before = configuration.classes.associateBy { it.name }
    val after = before + change.classes.associate { it.after.name to it.after }
    val overtaken =
        before.keys.filter { name ->
            before.keys.any { other ->
                val wasAhead = before.getValue(name).tier <= before.getValue(other).tier
                val isAhead = after.getValue(name).tier <= after.getValue(other).tier
                wasAhead && !isAhead
            }
        }
    val organisations = configuration.organisations
    return overtaken.map { name ->
        val using = organisations.count { name in it.classes }
        "$name (used by $using organisations) falls behind classes that it was level with or ahead of; " +
            "it waits longer and is shed earlier in a burst"
    } +
        change.classes
            .filter { it.after.floorSlots > it.before.floorSlots }
            .map {
                "each entry keeps ${it.after.floorSlots - it.before.floorSlots} more slots for ${it.after.name}, " +
                    "which no other class counts as its own"
            }
}

private fun limitCosts(change: PlanChange): List<String> =
    change.organisations
        .filter { it.after.requestsPerSecond < it.before.requestsPerSecond }
        .map { "callers of ${it.after.name} above the limit are refused as not run" }

private fun drainCosts(
    change: PlanChange,
    configuration: Configuration,
): List<String> {
    val draining =
        change.drains
            .filter { it.draining }
            .map { it.upstream }
            .toSet()
    return configuration.upstreams.filter { it.name in draining }.map { upstream ->
        val peers = configuration.upstreams.count { it.name !in draining && sharesWork(it, upstream) }
        if (peers == 0) {
            "no other upstream serves what ${upstream.name} serves: its requests are refused"
        } else {
            "$peers other upstreams take over the work of ${upstream.name} (${upstream.slots} slots)"
        }
    }
}

private fun sharesWork(
    first: Upstream,
    second: Upstream,
): Boolean =
    when (second.kind) {
        UpstreamKind.ENGINE -> first.models.any { it in second.models }
        UpstreamKind.SERVICE -> first.service == second.service
    }

private fun describe(change: ClassChange): List<String> =
    listOfNotNull(
        "class ${change.after.name}: tier ${change.before.tier} -> ${change.after.tier}"
            .takeIf { change.before.tier != change.after.tier },
        "class ${change.after.name}: floor_slots ${change.before.floorSlots} -> ${change.after.floorSlots}"
            .takeIf { change.before.floorSlots != change.after.floorSlots },
    )
