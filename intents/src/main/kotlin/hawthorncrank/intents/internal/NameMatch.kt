package hawthorncrank.intents.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.intents.IntentFailure

/**
 * Finds the name that equals [text], or else the only name that equals it when case, spaces, punctuation and plural are
 * ignored.
 */
internal fun matchName(
    kind: String,
    text: String,
    names: List<String>,
): Result<String, IntentFailure> {
    names.find { it == text }?.let { return Ok(it) }
    val wanted = normalised(text)
    val matching = names.filter { normalised(it) == wanted }
    return when (matching.size) {
        1 -> Ok(matching.single())
        0 -> Err(IntentFailure.UnknownName(kind, text, nearest(text, names)))
        else -> Err(IntentFailure.AmbiguousName(kind, text, matching.take(MAXIMUM_SUGGESTIONS)))
    }
}

/** The [MAXIMUM_SUGGESTIONS] candidates with the smallest edit distance to [text], nearest first. */
internal fun nearest(
    text: String,
    candidates: List<String>,
): List<String> {
    val wanted = text.lowercase()
    return candidates.sortedBy { editDistance(wanted, it.lowercase()) }.take(MAXIMUM_SUGGESTIONS)
}

private fun normalised(text: String): String =
    text
        .lowercase()
        .split(SEPARATORS)
        .filter(String::isNotEmpty)
        .joinToString("") { singular(it) }

private fun singular(word: String): String =
    when {
        word.length > 4 && word.endsWith("ies") -> word.dropLast(3) + "y"
        word.length > 4 && ES_PLURALS.any(word::endsWith) -> word.dropLast(2)
        word.length > 3 && word.endsWith("s") && !word.endsWith("ss") -> word.dropLast(1)
        else -> word
    }

private fun editDistance(
    first: String,
    second: String,
): Int {
    var previous = IntArray(second.length + 1) { it }
    first.forEachIndexed { row, letter ->
        val current = IntArray(second.length + 1)
        current[0] = row + 1
        second.forEachIndexed { column, other ->
            val replaced = previous[column] + if (letter == other) 0 else 1
            current[column + 1] = minOf(replaced, previous[column + 1] + 1, current[column] + 1)
        }
        previous = current
    }
    return previous[second.length]
}

private const val MAXIMUM_SUGGESTIONS = 3
private val SEPARATORS = Regex("[^\\p{L}\\p{N}]+")
private val ES_PLURALS = listOf("ches", "shes", "sses", "xes")
