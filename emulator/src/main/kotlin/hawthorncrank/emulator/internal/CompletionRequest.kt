package hawthorncrank.emulator.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull

/** The fields of a chat completion request that the engine stand-in uses. A lower [priority] is served first. */
internal data class CompletionRequest(
    val model: String,
    val prompt: String,
    val streamed: Boolean,
    val maximumTokens: Int?,
    val priority: Int,
    val resume: ResumeRequest?,
)

/** Continues the stream of [token] after its first [offset] bytes. */
internal data class ResumeRequest(
    val token: String,
    val offset: Int,
)

internal fun parseCompletionRequest(body: ByteArray): Result<CompletionRequest, String> {
    val fields =
        try {
            Json.parseToJsonElement(body.decodeToString()) as? JsonObject
        } catch (failure: SerializationException) {
            return Err("the body is not JSON: ${failure.message.orEmpty().lineSequence().first()}")
        } ?: return Err("the body is not a JSON object")
    val model = fields.primitive("model")?.contentOrNull ?: return Err("the field \"model\" is missing")
    val messages = fields["messages"] as? JsonArray ?: return Err("the field \"messages\" is missing")
    val resumeToken = fields.primitive("resume_token")?.contentOrNull
    return Ok(
        CompletionRequest(
            model = model,
            prompt = messages.joinToString("") { promptLine(it) },
            streamed = fields.primitive("stream")?.booleanOrNull ?: false,
            maximumTokens = fields.primitive("max_tokens")?.intOrNull,
            priority = fields.primitive("priority")?.intOrNull ?: 0,
            resume = resumeToken?.let { ResumeRequest(it, fields.primitive("resume_offset")?.intOrNull ?: 0) },
        ),
    )
}

private fun promptLine(message: JsonElement): String {
    val fields = message as? JsonObject ?: return ""
    return "${fields.primitive("role")?.contentOrNull}: ${fields.primitive("content")?.contentOrNull.orEmpty()}\n"
}

private fun JsonObject.primitive(name: String): JsonPrimitive? = this[name] as? JsonPrimitive
