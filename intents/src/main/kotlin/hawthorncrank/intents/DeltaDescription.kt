package hawthorncrank.intents

import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.NamedChanges

/**
 * Describes a configuration change, one line for each item: at most [limit] lines, then the number of further items.
 */
fun describeDelta(
    delta: ConfigurationDelta,
    limit: Int = 20,
): List<String> {
    val lines =
        describe("class", delta.classes) { it.name } +
            describe("organisation", delta.organisations) { it.name } +
            describe("upstream", delta.upstreams) { it.name } +
            describe("service", delta.services) { it.name } +
            describe("route", delta.routes) { it.name } +
            describe("route service", delta.routeServices) { it.name } +
            listOfNotNull(delta.weightStore?.let { "weight store: ${it.loadsPerMinute} loads per minute" })
    if (lines.size <= limit) return lines
    return lines.take(limit) + "and ${lines.size - limit} more"
}

private fun <Item> describe(
    kind: String,
    changes: NamedChanges<Item>,
    name: (Item) -> String,
) = changes.changed.map { "$kind ${name(it)} set" } + changes.removed.map { "$kind $it removed" }
