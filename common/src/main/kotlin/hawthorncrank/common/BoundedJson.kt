package hawthorncrank.common

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.serializer

/**
 * Decodes JSON that another program wrote. The parser is recursive, and an overflow of the stack is fatal to the thread
 * or the subscription that it happens in, so text that is nested too deeply fails with a [SerializationException].
 */
fun <T> Json.decodeBounded(
    deserializer: DeserializationStrategy<T>,
    text: String,
): T {
    requireBoundedNesting(text)
    return decodeFromString(deserializer, text)
}

inline fun <reified T> Json.decodeBounded(text: String): T = decodeBounded(serializersModule.serializer<T>(), text)

/** Parses JSON that another program wrote; see [decodeBounded]. */
fun Json.parseBounded(text: String): JsonElement {
    requireBoundedNesting(text)
    return parseToJsonElement(text)
}

private fun requireBoundedNesting(text: String) {
    var depth = 0
    visitJsonStructure(text) { _, character ->
        when (character) {
            '[', '{' -> if (++depth > MAXIMUM_NESTING) throw SerializationException(NESTED_TOO_DEEPLY)
            ']', '}' -> depth--
        }
    }
}

internal const val MAXIMUM_NESTING = 100
private const val NESTED_TOO_DEEPLY = "the JSON is nested deeper than $MAXIMUM_NESTING levels"
