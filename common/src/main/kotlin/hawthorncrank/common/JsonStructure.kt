package hawthorncrank.common

/** Calls [visit] with each bracket, brace, comma and colon of a JSON text that is outside its strings. */
internal inline fun visitJsonStructure(
    text: String,
    visit: (index: Int, character: Char) -> Unit,
) {
    var index = 0
    while (index < text.length) {
        when (val character = text[index]) {
            '"' -> index = endOfString(text, index)
            '[', ']', '{', '}', ',', ':' -> visit(index, character)
        }
        index++
    }
}

internal fun endOfString(
    text: String,
    start: Int,
): Int {
    var index = start + 1
    while (index < text.length && text[index] != '"') index += if (text[index] == '\\') 2 else 1
    return index
}
