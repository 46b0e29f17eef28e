package hawthorncrank.common

/**
 * Adds the settings key to a failure that the serializer of a value reported, such as a wrong unit. The TOML decoder
 * passes on the serializer's message but not the key, so the key is found by searching the [text] of the file for the
 * value.
 */
internal fun addSettingsKey(
    text: String,
    failure: SettingsFailure,
): SettingsFailure {
    if (failure !is SettingsFailure.MalformedFile) return failure
    val rejected = REJECTED_VALUE.find(failure.detail) ?: return failure
    val (value, detail, remedy) = rejected.destructured
    val line = text.lineSequence().firstOrNull { '=' in it && "\"$value\"" in it } ?: return failure
    return SettingsFailure.InvalidValue(failure.file, line.substringBefore('=').trim(), "\"$value\" $detail", remedy)
}

private val REJECTED_VALUE = Regex("""^"([^"]*)" (is not [^;]+); (.+)$""")
