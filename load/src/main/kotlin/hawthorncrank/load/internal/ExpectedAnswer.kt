package hawthorncrank.load.internal

import java.security.MessageDigest

/**
 * The bytes that the engine stand-in answers to a prompt. This implements the stand-in's documented rule without
 * sharing its code, so that a fault in one implementation shows as a mismatch; a test compares the two.
 */
internal class ExpectedAnswer(
    private val model: String,
    private val prompt: String,
    private val length: Int,
) {
    private val digest = MessageDigest.getInstance("SHA-256").digest("$model\n$prompt".toByteArray())
    private val identifier = "answer-" + digest.take(8).joinToString("") { "%02x".format(it) }
    private val words = List(length) { WORDS[((digest[it % 32].toInt() and 0xff) + 7 * it) % WORDS.size] + " " }

    fun streamed(): String =
        words.joinToString("") { chunk("""{"content":"$it"}""", "null") } + chunk("{}", "\"stop\"") + "data: [DONE]\n\n"

    fun completeBody(): String {
        val promptTokens = prompt.length / 4
        return """{"id":"$identifier","object":"chat.completion","model":"$model","choices":[{"index":0,""" +
            """"message":{"role":"assistant","content":"${words.joinToString("")}"},"finish_reason":"stop"}],""" +
            """"usage":{"prompt_tokens":$promptTokens,"completion_tokens":$length,""" +
            """"total_tokens":${promptTokens + length}}}"""
    }

    private fun chunk(
        delta: String,
        finishReason: String,
    ): String =
        """data: {"id":"$identifier","object":"chat.completion.chunk","model":"$model",""" +
            """"choices":[{"index":0,"delta":$delta,"finish_reason":$finishReason}]}""" + "\n\n"

    private companion object {
        val WORDS =
            (
                "lantern rope tide signal banner paint alley harbour quiet letter north copper market ribbon drum " +
                    "candle ladder garden window morning river stone paper bridge orange violet thread evening " +
                    "corner silver island"
            ).split(' ')
    }
}
