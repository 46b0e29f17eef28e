package hawthorncrank.operator.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import hawthorncrank.common.SettingsFailure
import hawthorncrank.common.decodeSettings
import hawthorncrank.protocol.Configuration
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Reads a configuration file for the check. Errors name the line and the field, but never quote a line of the file. */
internal fun readConfigurationFile(file: Path): Result<Configuration, SettingsFailure> {
    val text =
        try {
            file.readText()
        } catch (failure: IOException) {
            return Err(SettingsFailure.UnreadableFile(file.toString(), failure.javaClass.simpleName))
        }
    return decodeSettings(file.toString(), text, Configuration.serializer()).mapError { withoutContent(text, it) }
}

/** The parser's message may quote the value that it rejects, which can be a key hash. */
private fun withoutContent(
    text: String,
    failure: SettingsFailure,
): SettingsFailure {
    if (failure is SettingsFailure.UnknownKey && !FIELD.matches(failure.key)) return failure.copy(key = "…")
    if (failure !is SettingsFailure.MalformedFile) return failure
    val number =
        LINE_NUMBER
            .find(failure.detail)
            ?.groupValues
            ?.get(1)
            ?.toIntOrNull()
    val key =
        number
            ?.let { text.lines().getOrNull(it - 1) }
            ?.let { KEY.find(it) }
            ?.groupValues
            ?.get(1)
    val place = listOfNotNull(number?.let { "line $it" }, key?.let { "key \"$it\"" })
    if (place.isEmpty()) return failure.copy(detail = "the parser names no line")
    return failure.copy(detail = "${place.joinToString()}: the syntax or the type of the value is wrong")
}

private val LINE_NUMBER = Regex("""(?i)\bline:? <?(\d+)""")
private val FIELD = Regex("""[A-Za-z_]{1,40}""")
private val KEY = Regex("""^\s*([A-Za-z_]+)\s*=""")
