/*
 * Reads an array that several writers fill, so that an element which one of them wrote badly does not hide the others. An
 * element that is not valid JSON may have quotes, brackets and braces without their counterparts, so these do not tell where
 * it ends. It ends before the first comma after its fault that a whole object follows, up to a comma or the array's end.
 */
package hawthorncrank.common

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * The array in the member of a JSON object: the texts of its [elements], those that are not valid JSON as [unreadable], and
 * the texts of the object's [others] by name.
 */
class JsonArrayMember(
    val elements: List<String>,
    val unreadable: List<String>,
    val others: Map<String, String>,
)

/**
 * Reads the member [name] of the object in [text]. If not all of the text is valid JSON, the object must also have the member
 * [required], because without it the text may have been cut off. Throws a [SerializationException] if the object has no
 * such array or no end, or if a member other than the array is not valid JSON.
 */
fun readJsonArrayMember(
    text: String,
    name: String,
    required: String,
): JsonArrayMember {
    val before = LinkedHashMap<String, String>()
    val opening =
        JsonScan(text).openingBracket(text, name, before)
            ?: throw SerializationException("the JSON text is not an object with an array \"$name\"")
    return validArray(text, opening, before) ?: damagedArray(text, opening, before, required)
}

/** Collects the members before the array [name] in [before] and returns the index of its opening bracket, or null. */
private fun JsonScan.openingBracket(
    text: String,
    name: String,
    before: MutableMap<String, String>,
): Int? {
    var index = skipWhitespace(0)
    if (text.getOrNull(index) != '{') return null
    do {
        val member = memberName(text, index + 1) ?: return null
        if (member.name == name && text.getOrNull(member.valueStart) == '[') return member.valueStart
        val value = scanValue(member.valueStart) as? ScannedValue.Valid ?: return null
        before[member.name] = text.substring(value.start, value.end)
        index = value.next
    } while (text.getOrNull(index) == ',')
    return null
}

private class MemberName(
    val name: String,
    val valueStart: Int,
)

private fun JsonScan.memberName(
    text: String,
    start: Int,
): MemberName? {
    val key = scanValue(start) as? ScannedValue.Valid ?: return null
    if (text[key.start] != '"' || text.getOrNull(key.next) != ':') return null
    return MemberName(Json.decodeFromString<String>(text.substring(key.start, key.end)), skipWhitespace(key.next + 1))
}

/** The array in a text that is valid JSON as a whole, or null. */
private fun validArray(
    text: String,
    opening: Int,
    before: Map<String, String>,
): JsonArrayMember? {
    val scan = JsonScan(text)
    val array = scan.scanValue(opening) as? ScannedValue.Valid ?: return null
    val after = scan.membersAfter(text, array.end) ?: return null
    val region = ElementScan(text, opening + 1, array.end - 1)
    region.run()
    return JsonArrayMember(region.elements, region.unreadable, before + after)
}

private fun damagedArray(
    text: String,
    opening: Int,
    before: Map<String, String>,
    required: String,
): JsonArrayMember {
    val earliest = maxOf(opening + 1, text.length - LONGEST_END_CHARACTERS)
    for (closing in text.lastIndex downTo earliest) {
        if (text[closing] != ']') continue
        val members = JsonScan(text).membersAfter(text, closing + 1)?.let { before + it } ?: continue
        if (required !in members) continue
        val region = ElementScan(text, opening + 1, closing)
        region.run()
        return JsonArrayMember(region.elements, region.unreadable, members)
    }
    throw SerializationException("the JSON object does not end, or has no member \"$required\"")
}

/** The members from [start] to the end of the object, which must be the end of the text too, or null. */
private fun JsonScan.membersAfter(
    text: String,
    start: Int,
): Map<String, String>? {
    val members = LinkedHashMap<String, String>()
    var index = skipWhitespace(start)
    while (text.getOrNull(index) == ',') {
        val member = memberName(text, index + 1) ?: return null
        val value = scanValue(member.valueStart) as? ScannedValue.Valid ?: return null
        members[member.name] = text.substring(value.start, value.end)
        index = value.next
    }
    val isEnd = text.getOrNull(index) == '}' && skipWhitespace(index + 1) == text.length
    return members.takeIf { isEnd }
}

/** Collects the elements of the array between [start] and [end]. */
private class ElementScan(
    private val text: String,
    private val start: Int,
    private val end: Int,
) {
    private val scan = JsonScan(text, end)
    private val mostCharacters = MOST_READINGS * (end - start)
    val elements = ArrayList<String>()
    val unreadable = ArrayList<String>()

    fun run() {
        if (scan.skipWhitespace(start) >= end) return
        var index = start
        while (index <= end) {
            index =
                when (val value = scan.scanValue(index, insideArray = true)) {
                    is ScannedValue.Valid -> {
                        elements += text.substring(value.start, value.end)
                        value.next + 1
                    }

                    is ScannedValue.Broken -> {
                        val next = commaBeforeObject(value.resumeAt) ?: end
                        unreadable += parts(text.substring(minOf(value.start, next), next))
                        next + 1
                    }
                }
        }
    }

    private fun commaBeforeObject(from: Int): Int? {
        var comma = text.indexOf(',', from)
        while (comma in 0 until end && scan.charactersRead < mostCharacters) {
            val isObject = text.getOrNull(scan.skipWhitespace(comma + 1)) == '{'
            if (isObject && scan.scanValue(comma + 1, insideArray = true) is ScannedValue.Valid) return comma
            comma = text.indexOf(',', comma + 1)
        }
        return null
    }

    /** Splits unreadable text at its commas outside brackets and strings, as far as it has these. */
    private fun parts(unreadable: String): List<String> {
        val parts = ArrayList<String>()
        var depth = 0
        var start = 0
        visitJsonStructure(unreadable) { index, character ->
            when (character) {
                '[', '{' -> depth++
                ']', '}' -> depth--
                ',' -> if (depth == 0) parts += unreadable.substring(start, index).also { start = index + 1 }
            }
        }
        return parts + unreadable.substring(start)
    }
}

// The end of a damaged object is looked for in this many characters only.
private const val LONGEST_END_CHARACTERS = 1 shl 12

// How often the text of an array may be read in search of the ends of its unreadable elements.
private const val MOST_READINGS = 32L
