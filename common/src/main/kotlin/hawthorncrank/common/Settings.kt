package hawthorncrank.common

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.TomlInputConfig
import com.akuleshov7.ktoml.exceptions.TomlDecodingException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Reads a TOML settings file. Unknown keys are errors, so a misspelt key cannot silently fall back to the default. */
fun <T> loadSettings(
    file: Path,
    deserializer: DeserializationStrategy<T>,
): Result<T, SettingsFailure> {
    val text =
        try {
            file.readText()
        } catch (failure: IOException) {
            return Err(SettingsFailure.UnreadableFile(file.toString(), failure.javaClass.simpleName))
        }
    return decodeSettings(file.toString(), text, deserializer)
}

/** Decodes settings that are already in memory; [file] names them in errors. */
fun <T> decodeSettings(
    file: String,
    text: String,
    deserializer: DeserializationStrategy<T>,
): Result<T, SettingsFailure> {
    if (isNestedTooDeeply(text)) return Err(SettingsFailure.MalformedFile(file, NESTED_TOO_DEEPLY))
    return decode(file, text, deserializer)
}

private fun <T> decode(
    file: String,
    text: String,
    deserializer: DeserializationStrategy<T>,
): Result<T, SettingsFailure> =
    try {
        Ok(toml.decodeFromString(deserializer, text))
    } catch (failure: TomlDecodingException) {
        Err(addSettingsKey(text, describe(file, failure.message.orEmpty())))
    } catch (failure: SerializationException) {
        Err(addSettingsKey(text, describe(file, failure.message.orEmpty())))
    } catch (failure: IllegalArgumentException) {
        Err(addSettingsKey(text, describe(file, failure.message.orEmpty())))
    }

// The parser is recursive, and an overflow of the stack would end the thread that reads changed settings. Brackets in
// strings and comments count too; settings that are in use have far fewer.
private fun isNestedTooDeeply(text: String): Boolean {
    if (DEEP_KEY.containsMatchIn(text)) return true
    var depth = 0
    return text.any { character ->
        when (character) {
            '[', '{' -> depth++
            ']', '}' -> depth = maxOf(0, depth - 1)
        }
        depth > MAXIMUM_NESTING
    }
}

private fun describe(
    file: String,
    detail: String,
): SettingsFailure {
    val oneLine = detail.lineSequence().joinToString(" ") { it.trim() }
    val missingKey = MISSING_KEY.find(oneLine)
    if (missingKey != null) {
        val remedy = "add it or correct its spelling; the sample settings show it"
        return SettingsFailure.InvalidValue(file, missingKey.groupValues[1], "it is missing", remedy)
    }
    val unknownKey = UNKNOWN_KEY.find(oneLine) ?: return SettingsFailure.MalformedFile(file, oneLine)
    return SettingsFailure.UnknownKey(file, unknownKey.groupValues[1])
}

private const val NESTED_TOO_DEEPLY = "it is nested deeper than $MAXIMUM_NESTING levels"
private val DEEP_KEY = Regex("""(?<![\w-])(?:[\w-]++["']?\s*+\.\s*+["']?){$MAXIMUM_NESTING}""")
private val MISSING_KEY = Regex("""Missing required property <([^>]+)>""")
private val UNKNOWN_KEY = Regex("""(?i)unknown key[^<\["']*[<\["']([^>\]"']+)""")
private val toml = Toml(inputConfig = TomlInputConfig(ignoreUnknownNames = false))
