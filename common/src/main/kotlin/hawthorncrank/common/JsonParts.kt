package hawthorncrank.common

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Splits a JSON array into the texts of its elements without parsing them, so that one which is malformed or nested too
 * deeply does not make the others unreadable. Throws a [SerializationException] if [text] is not an array.
 */
fun jsonElements(text: String): List<String> = split(text.trim(), '[', ']')

/** Splits a JSON object into the texts of its members' values by name; see [jsonElements]. */
fun jsonMembers(text: String): Map<String, String> = split(text.trim(), '{', '}').associate(::nameAndValue)

private fun split(
    text: String,
    opening: Char,
    closing: Char,
): List<String> {
    val parts = mutableListOf<String>()
    var depth = 0
    var start = 1
    var end = -1
    visitJsonStructure(text) { index, character ->
        when (character) {
            '[', '{' -> depth++
            ']', '}' -> if (--depth == 0 && end < 0) end = index
            ',' -> if (depth == 1) parts += text.substring(start, index).also { start = index + 1 }
        }
    }
    val enclosed = text.startsWith(opening) && text.endsWith(closing)
    if (!enclosed || depth != 0 || end != text.lastIndex) {
        throw SerializationException("the JSON text does not begin with $opening and end with the matching $closing")
    }
    parts += text.substring(start, end)
    return if (parts.size == 1 && parts.single().isBlank()) emptyList() else parts
}

private fun nameAndValue(member: String): Pair<String, String> {
    visitJsonStructure(member) { index, character ->
        if (character == ':') {
            return Json.decodeFromString<String>(member.substring(0, index)) to member.substring(index + 1)
        }
    }
    throw SerializationException("a member of the JSON object has no value")
}
