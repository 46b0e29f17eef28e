package hawthorncrank.common

/**
 * Reads JSON values without recursion, so that any depth is possible, and without building them. Unlike a parser it tells
 * where a value that is not valid JSON stops being one, and which arrays were open there.
 */
internal class JsonScan(
    private val text: String,
    private val limit: Int = text.length,
) {
    /** The number of characters that were read so far, again for each value that was read from them. */
    var charactersRead = 0L
        private set

    /**
     * Reads the value that begins at [start] or after the white space there. Inside an array, the value is valid only if a
     * comma or the end of the array follows.
     */
    fun scanValue(
        start: Int,
        insideArray: Boolean = false,
    ): ScannedValue {
        val scan = ValueScan(start, insideArray)
        val result = scan.run()
        charactersRead += scan.position - start
        return result
    }

    fun skipWhitespace(start: Int): Int {
        var index = start
        while (index < limit && text[index] in WHITESPACE) index++
        return index
    }

    /** Returns the index after the string that begins at [start], or null if it is not a valid JSON string. */
    private fun stringEnd(start: Int): Int? {
        var index = start + 1
        while (index < limit) {
            val character = text[index]
            when {
                character == '"' -> return index + 1
                character < ' ' -> return null
                character == '\\' -> index = escapeEnd(index) ?: return null
                else -> index++
            }
        }
        return null
    }

    private fun escapeEnd(backslash: Int): Int? {
        if (backslash + 1 >= limit) return null
        val escaped = text[backslash + 1]
        if (escaped in ESCAPED_CHARACTERS) return backslash + 2
        val end = backslash + UNICODE_ESCAPE_LENGTH
        val isUnicode = escaped == 'u' && end <= limit && (backslash + 2 until end).all { text[it].isHexadecimal() }
        return end.takeIf { isUnicode }
    }

    private fun Char.isHexadecimal() = this in '0'..'9' || this in 'a'..'f' || this in 'A'..'F'

    private fun literalEnd(start: Int): Int? {
        var end = start
        while (end < limit && (text[end].isLetterOrDigit() || text[end] in "+-.")) end++
        return end.takeIf { LITERAL.matches(text.subSequence(start, end)) }
    }

    private enum class Expected { VALUE, FIRST_VALUE, KEY, FIRST_KEY, COLON, SEPARATOR }

    /** A container that is not closed yet, and its first comma, or -1. */
    private class Container(
        val isArray: Boolean,
        var firstComma: Int = -1,
    )

    private inner class ValueScan(
        start: Int,
        private val insideArray: Boolean,
    ) {
        private val open = ArrayList<Container>()
        private var expected = Expected.VALUE

        // The start of the string or comma right before [position], or -1. It may not belong to the value: a string that
        // was never closed ends at the first quote of the text behind it, and is noticed only there.
        private var doubtful = -1
        var position = skipWhitespace(start)
            private set
        private val first = position

        fun run(): ScannedValue {
            while (true) {
                if (expected == Expected.SEPARATOR && open.isEmpty()) return completed()
                position = skipWhitespace(position)
                if (position >= limit || !step(text[position])) return broken()
            }
        }

        private fun completed(): ScannedValue {
            val end = position
            position = skipWhitespace(position)
            val isSeparated = position >= limit || text[position] == ','
            return if (insideArray && !isSeparated) broken() else ScannedValue.Valid(first, end, position)
        }

        private fun broken(): ScannedValue {
            val from = if (doubtful >= 0) doubtful else position
            val comma = open.firstOrNull { it.isArray && it.firstComma >= 0 }?.firstComma
            return ScannedValue.Broken(first, minOf(from, comma ?: from))
        }

        private fun step(character: Char): Boolean =
            when (expected) {
                Expected.VALUE -> value(character)
                Expected.FIRST_VALUE -> if (character == ']') close() else value(character)
                Expected.KEY -> key(character)
                Expected.FIRST_KEY -> if (character == '}') close() else key(character)
                Expected.COLON -> character == ':' && advance(Expected.VALUE)
                Expected.SEPARATOR -> separator(character)
            }

        private fun value(character: Char): Boolean =
            when (character) {
                '{' -> open(isArray = false, Expected.FIRST_KEY)
                '[' -> open(isArray = true, Expected.FIRST_VALUE)
                '"' -> string(Expected.SEPARATOR)
                else -> literal()
            }

        private fun key(character: Char) = character == '"' && string(Expected.COLON)

        private fun separator(character: Char): Boolean {
            val container = open.last()
            return when (character) {
                ',' -> {
                    val comma = position
                    if (container.firstComma < 0) container.firstComma = comma
                    advance(if (container.isArray) Expected.VALUE else Expected.KEY).also { doubtful = comma }
                }

                ']' -> {
                    container.isArray && close()
                }

                '}' -> {
                    !container.isArray && close()
                }

                else -> {
                    false
                }
            }
        }

        private fun open(
            isArray: Boolean,
            next: Expected,
        ): Boolean {
            open += Container(isArray)
            return advance(next)
        }

        private fun close(): Boolean {
            open.removeAt(open.size - 1)
            return advance(Expected.SEPARATOR)
        }

        private fun advance(next: Expected): Boolean {
            position++
            doubtful = -1
            expected = next
            return true
        }

        private fun string(next: Expected): Boolean {
            doubtful = position
            position = stringEnd(position) ?: return false
            expected = next
            return true
        }

        private fun literal(): Boolean {
            position = literalEnd(position) ?: return false
            doubtful = -1
            expected = Expected.SEPARATOR
            return true
        }
    }

    private companion object {
        const val WHITESPACE = " \t\r\n"
        const val ESCAPED_CHARACTERS = "\"\\/bfnrt"
        const val UNICODE_ESCAPE_LENGTH = 6
        val LITERAL = Regex("true|false|null|-?(0|[1-9][0-9]*)([.][0-9]+)?([eE][+-]?[0-9]+)?")
    }
}
