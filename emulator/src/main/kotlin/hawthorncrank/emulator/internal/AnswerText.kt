package hawthorncrank.emulator.internal

import java.security.MessageDigest

/**
 * Derives the answer from the model and the prompt, so that a client that applies the same rule can check it byte for
 * byte.
 *
 * The digest is SHA-256 over the model, a line feed and the prompt. Token n is the word at index
 * `digest[n mod 32] + 7 n` (modulo the number of words), followed by a space. The length is the number in the prompt's
 * last `[length=N]`, otherwise 20 + digest[0] mod 100, and never more than the request's `max_tokens`.
 */
internal class AnswerText(
    model: String,
    prompt: String,
    maximumTokens: Int?,
) {
    private val digest = MessageDigest.getInstance("SHA-256").digest("$model\n$prompt".toByteArray())

    val identifier: String = "answer-" + digest.take(IDENTIFIER_BYTES).joinToString("") { "%02x".format(it) }
    val length: Int = minOf(requestedLength(prompt) ?: defaultLength(), maximumTokens ?: MAXIMUM_LENGTH, MAXIMUM_LENGTH)

    fun token(index: Int): String =
        WORDS[((digest[index % digest.size].toInt() and 0xff) + WORD_STEP * index) % WORDS.size] + " "

    fun fullText(): String = (0 until length).joinToString("") { token(it) }

    private fun requestedLength(prompt: String): Int? {
        val start = prompt.lastIndexOf(LENGTH_MARKER)
        if (start < 0) return null
        return prompt
            .substring(start + LENGTH_MARKER.length)
            .takeWhile { it.isDigit() }
            .toIntOrNull()
    }

    private fun defaultLength(): Int = 20 + (digest[0].toInt() and 0xff) % 100

    companion object {
        private const val IDENTIFIER_BYTES = 8
        private const val WORD_STEP = 7
        private const val LENGTH_MARKER = "[length="
        private const val MAXIMUM_LENGTH = 20_000
        val WORDS =
            (
                "lantern rope tide signal banner paint alley harbour quiet letter north copper market ribbon drum " +
                    "candle ladder garden window morning river stone paper bridge orange violet thread evening " +
                    "corner silver island"
            ).split(' ')
    }
}
