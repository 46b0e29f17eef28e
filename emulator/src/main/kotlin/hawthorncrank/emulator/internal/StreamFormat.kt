package hawthorncrank.emulator.internal

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Formats an answer as server-sent events or as one JSON object. Equal answers and models give equal bytes. */
internal class StreamFormat(
    private val answer: AnswerText,
    private val model: String,
) {
    fun chunk(index: Int): ByteArray = event { put("content", answer.token(index)) }

    fun finalEvents(): ByteArray = event(finishReason = "stop") {} + "data: [DONE]\n\n".toByteArray()

    /** Returns the chunk that contains byte [offset] of the stream, and how many bytes of that chunk precede it. */
    fun position(offset: Int): StreamPosition {
        var remainingBytes = offset
        for (index in 0 until answer.length) {
            val size = chunk(index).size
            if (remainingBytes < size) return StreamPosition(index, remainingBytes)
            remainingBytes -= size
        }
        return StreamPosition(answer.length, remainingBytes)
    }

    fun completeBody(promptTokens: Int): ByteArray =
        buildJsonObject {
            put("id", answer.identifier)
            put("object", "chat.completion")
            put("model", model)
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    putJsonObject("message") {
                        put("role", "assistant")
                        put("content", answer.fullText())
                    }
                    put("finish_reason", "stop")
                }
            }
            putJsonObject("usage") {
                put("prompt_tokens", promptTokens)
                put("completion_tokens", answer.length)
                put("total_tokens", promptTokens + answer.length)
            }
        }.toString().toByteArray()

    private fun event(
        finishReason: String? = null,
        delta: JsonObjectBuilder.() -> Unit,
    ): ByteArray {
        val choice: JsonObject =
            buildJsonObject {
                put("index", 0)
                putJsonObject("delta", delta)
                put("finish_reason", JsonPrimitive(finishReason))
            }
        val event =
            buildJsonObject {
                put("id", answer.identifier)
                put("object", "chat.completion.chunk")
                put("model", model)
                putJsonArray("choices") { add(choice) }
            }
        return "data: $event\n\n".toByteArray()
    }
}

internal data class StreamPosition(
    val token: Int,
    val skippedBytes: Int,
)
