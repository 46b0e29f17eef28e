package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.common.parseBounded
import hawthorncrank.entry.core.RequestTarget
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import java.nio.ByteBuffer
import java.security.MessageDigest

/** A parsed chat completion request. Engines receive it with the priority that the entry chose, not the caller's. */
internal class ModelRequest private constructor(
    private val fields: JsonObject,
    val target: RequestTarget.Model,
    val streamed: Boolean,
) {
    fun body(
        priority: Int,
        resume: StreamResume?,
    ): ByteArray {
        val entryFields =
            buildMap<String, JsonElement> {
                put("priority", JsonPrimitive(priority))
                resume?.let {
                    put("resume_token", JsonPrimitive(it.token))
                    put("resume_offset", JsonPrimitive(it.offset))
                }
            }
        return JsonObject(fields - RESERVED_FIELDS + entryFields).toString().toByteArray()
    }

    companion object {
        private val RESERVED_FIELDS = setOf("priority", "resume_token", "resume_offset")

        fun parse(body: ByteArray): Result<ModelRequest, Rejection> {
            val fields = decode(body) ?: return rejected("the body is not a JSON object, or nested too deeply")
            val model = fields.primitive("model")?.takeIf { it.isString }?.contentOrNull
            if (model.isNullOrEmpty()) return rejected("the field \"model\" is missing or not a string")
            val messages = fields["messages"] as? JsonArray ?: return rejected("the field \"messages\" is not an array")
            val prompt = messages.joinToString("") { promptLine(it) }
            val target =
                RequestTarget.Model(
                    model = model,
                    promptTokens = (prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN,
                    maximumTokens = fields.primitive("max_tokens")?.intOrNull,
                    prefixBlocks = prefixBlocks(model, prompt.toByteArray()),
                )
            return Ok(ModelRequest(fields, target, fields.primitive("stream")?.booleanOrNull ?: false))
        }

        private fun decode(body: ByteArray): JsonObject? =
            try {
                Json.parseBounded(body.decodeToString()) as? JsonObject
            } catch (_: SerializationException) {
                null
            }

        private fun rejected(detail: String) = Err(Rejection.InvalidModelRequest(detail))

        private fun promptLine(message: JsonElement): String {
            val line = message as? JsonObject ?: return ""
            val content = line["content"]
            val text = if (content is JsonPrimitive) content.contentOrNull.orEmpty() else content?.toString().orEmpty()
            return "${line.primitive("role")?.contentOrNull}: $text\n"
        }

        private fun JsonObject.primitive(name: String): JsonPrimitive? = this[name] as? JsonPrimitive

        // Engines report tokens, not characters; four characters per token is the usual estimate for English text.
        private const val CHARACTERS_PER_TOKEN = 4
    }
}

/** Resumes a broken stream after its first [offset] bytes. */
internal class StreamResume(
    val token: String,
    val offset: Long,
)

/**
 * Chained digests of the prefixes of a prompt, one per complete block of 16 KiB, at most 32. Each is the first 8 bytes
 * of the SHA-256 over the previous SHA-256 and the block; the chain starts with the SHA-256 of the model's name.
 * Engines publish the same digests.
 */
internal fun prefixBlocks(
    model: String,
    prompt: ByteArray,
): List<Long> {
    var chain = MessageDigest.getInstance("SHA-256").digest(model.toByteArray())
    return (0 until minOf(prompt.size / PREFIX_BLOCK_BYTES, MAXIMUM_BLOCKS)).map { block ->
        val hash = MessageDigest.getInstance("SHA-256")
        hash.update(chain)
        hash.update(prompt, block * PREFIX_BLOCK_BYTES, PREFIX_BLOCK_BYTES)
        chain = hash.digest()
        ByteBuffer.wrap(chain).long
    }
}

private const val PREFIX_BLOCK_BYTES = 16 * 1024
private const val MAXIMUM_BLOCKS = 32
