package hawthorncrank.load.internal

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import reactor.netty.http.client.HttpClient
import java.time.Duration

/** Queries how often each key ran on all service stand-ins together, and counts the runs beyond the first. */
internal fun duplicateRuns(services: List<String>): Long? {
    if (services.isEmpty()) return null
    val runs = services.flatMap { runsByKey(it).entries }.groupBy({ it.key }, { it.value })
    return runs.values.sumOf { it.sum() - 1 }
}

private fun runsByKey(address: String): Map<String, Long> {
    val text =
        HttpClient
            .create()
            .get()
            .uri("http://$address/admin/runs")
            .responseContent()
            .aggregate()
            .asString()
            .block(RESPONSE_TIMEOUT) ?: return emptyMap()
    val fields =
        Json
            .parseToJsonElement(text)
            .jsonObject
            .getValue("by_key")
            .jsonObject
    return fields.mapValues { it.value.jsonPrimitive.long }
}

private val RESPONSE_TIMEOUT = Duration.ofSeconds(10)
