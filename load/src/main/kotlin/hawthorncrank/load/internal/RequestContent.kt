package hawthorncrank.load.internal

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** What one planned request sends, and how its answer is checked. */
internal class RequestContent(
    model: String,
    private val runName: String,
    private val planned: PlannedRequest,
) {
    private val load = planned.load
    private val service = load.path != null
    val idempotencyKey: String? = if (service && load.method != "GET") "$runName-${planned.number}" else null
    val path: String = load.path?.let { "$it/${planned.number}" } ?: "/v1/chat/completions"

    private val question = "${sharedPrefix()}${filler()} request ${planned.number} [length=${planned.outputTokens}]"

    val body: String =
        when {
            !service ->
                buildJsonObject {
                    put("model", model)
                    put("stream", load.streamed)
                    put("max_tokens", load.maximumTokens)
                    putJsonArray("messages") {
                        addJsonObject {
                            put("role", "user")
                            put("content", question)
                        }
                    }
                }.toString()
            load.method == "GET" -> ""
            else -> buildJsonObject { put("request", planned.number) }.toString()
        }

    private val expected: String =
        ExpectedAnswer(model, "user: $question\n", planned.outputTokens).let {
            if (load.streamed) it.streamed() else it.whole()
        }

    fun isWhole(answer: String): Boolean = if (service) isServiceAnswer(answer) else answer == expected

    /** Whether a broken answer is a part of this request's own answer, before the event that says so. */
    fun isPart(answer: String): Boolean = service || expected.startsWith(answer.substringBefore("event: error"))

    // Which instance of the service ran the call is not known; the run number must be 1 or the call ran twice.
    private fun isServiceAnswer(answer: String): Boolean {
        val key = idempotencyKey
        val fields = if (key == null) "" else ""","key":"$key","run":1,"received_bytes":${body.length}"""
        return answer.startsWith("{\"service\":\"") && answer.endsWith("\"path\":\"$path\"$fields}")
    }

    private fun sharedPrefix(): String {
        val sentence = "These are the standing notes of ${planned.organisation.name} for ${load.name}. "
        return sentence.repeat(load.sharedPrefixCharacters / sentence.length)
    }

    private fun filler(): String = "knots ".repeat(load.promptCharacters / "knots ".length)
}
