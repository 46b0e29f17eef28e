package hawthorncrank.load.internal

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** The body, path and key of one planned request, and the checks of its answer. */
internal class RequestContent(
    model: String,
    private val runName: String,
    private val planned: PlannedRequest,
) {
    private val load = planned.load
    private val service = load.path != null
    val idempotencyKey: String? = if (service && load.method != "GET") "$runName-${planned.number}" else null
    val path: String = load.path?.let { "$it/${planned.number}" } ?: "/v1/chat/completions"

    private val prompt = "${sharedPrefix()}${filler()} request ${planned.number} [length=${planned.outputTokens}]"

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
                            put("content", prompt)
                        }
                    }
                }.toString()
            load.method == "GET" -> ""
            else -> buildJsonObject { put("request", planned.number) }.toString()
        }

    private val expected: String =
        ExpectedAnswer(model, "user: $prompt\n", planned.outputTokens).let {
            if (load.streamed) it.streamed() else it.completeBody()
        }

    fun isComplete(answer: String): Boolean = if (service) isServiceAnswer(answer) else answer == expected

    /**
     * Whether an interrupted answer, without its error event, is a prefix of this request's expected answer. Interrupted
     * answers of services are not checked.
     */
    fun isPartial(answer: String): Boolean = service || expected.startsWith(answer.substringBefore("event: error"))

    // Any instance may have run the call, so the service name is not checked. A run number above 1 is a repeated run.
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
