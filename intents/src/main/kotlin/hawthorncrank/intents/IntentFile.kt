package hawthorncrank.intents

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.mapError
import hawthorncrank.common.decodeSettings
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The TOML form of an intent. [action] names the sentence form: "first", "protect", "limit", "slow", "drain" or "undo".
 * It is converted to the equivalent sentence, so that both forms have the same meaning.
 */
@Serializable
data class IntentFile(
    val action: String,
    val occasion: String = "",
    @SerialName("class")
    val className: String = "",
    val organisation: String = "",
    val upstream: String = "",
    val plan: Long = 0,
    @SerialName("requests_per_second")
    val requestsPerSecond: Int = 0,
    val until: String = "",
    val duration: String = "",
)

/** Converts a TOML intent to a sentence of the grammar. */
fun sentenceOf(
    file: String,
    text: String,
): Result<String, IntentFailure> =
    decodeSettings(file, text, IntentFile.serializer())
        .mapError { IntentFailure.MalformedFile(it.problem, it.remedy) }
        .flatMap { sentenceOf(file, it) }

private fun sentenceOf(
    file: String,
    intent: IntentFile,
): Result<String, IntentFailure> {
    val needed = REQUIRED_KEYS[intent.action] ?: return Err(unknownAction(file, intent.action))
    val given = givenKeys(intent)
    val missing = needed.filter { it !in given }
    if (missing.isNotEmpty()) {
        val problem = "$file: action \"${intent.action}\" lacks ${missing.joinToString()}"
        return Err(IntentFailure.MalformedFile(problem, "add the missing keys"))
    }
    val allowed = needed + OPTIONAL_KEYS[intent.action].orEmpty()
    val excess = given.filter { it !in allowed }
    if (excess.isNotEmpty()) {
        val problem = "$file: action \"${intent.action}\" does not use ${excess.joinToString()}"
        return Err(IntentFailure.MalformedFile(problem, "remove the keys or write another action"))
    }
    return sentenceForAction(file, intent)
}

private fun sentenceForAction(
    file: String,
    intent: IntentFile,
): Result<String, IntentFailure> =
    when (intent.action) {
        "first" -> Ok("${intent.occasion.ifEmpty { "until further notice" }}: ${intent.className} first")
        "protect" -> protectSentence(file, intent)
        "limit" -> Ok("limit ${intent.organisation} to ${intent.requestsPerSecond} requests per second")
        "slow" -> Ok("slow ${intent.className} down")
        "drain" -> Ok("drain ${intent.upstream}")
        else -> Ok("undo ${intent.plan}")
    }

private fun protectSentence(
    file: String,
    intent: IntentFile,
): Result<String, IntentFailure> {
    if (intent.until.isEmpty() == intent.duration.isEmpty()) {
        val problem = "$file: action \"protect\" needs exactly one of until and duration"
        return Err(IntentFailure.MalformedFile(problem, "write until = \"22:00\" or duration = \"2 h\""))
    }
    val end = if (intent.until.isEmpty()) "for ${intent.duration}" else "until ${intent.until}"
    return Ok("protect ${intent.className} $end")
}

private fun givenKeys(intent: IntentFile): Set<String> =
    buildSet {
        if (intent.occasion.isNotEmpty()) add("occasion")
        if (intent.className.isNotEmpty()) add("class")
        if (intent.organisation.isNotEmpty()) add("organisation")
        if (intent.upstream.isNotEmpty()) add("upstream")
        if (intent.plan != 0L) add("plan")
        if (intent.requestsPerSecond != 0) add("requests_per_second")
        if (intent.until.isNotEmpty()) add("until")
        if (intent.duration.isNotEmpty()) add("duration")
    }

private fun unknownAction(
    file: String,
    action: String,
) = IntentFailure.MalformedFile(
    "$file: key \"action\": \"$action\" is not an action",
    "write one of: ${REQUIRED_KEYS.keys.joinToString()}",
)

private val REQUIRED_KEYS =
    mapOf(
        "first" to listOf("class"),
        "protect" to listOf("class"),
        "limit" to listOf("organisation", "requests_per_second"),
        "slow" to listOf("class"),
        "drain" to listOf("upstream"),
        "undo" to listOf("plan"),
    )
private val OPTIONAL_KEYS = mapOf("first" to listOf("occasion"), "protect" to listOf("until", "duration"))
