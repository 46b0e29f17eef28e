package hawthorncrank.common

/**
 * Adds the key to a failure that a value's type reported, such as a wrong unit. The decoder passes on the type's message
 * but not the key, so the key is looked up by the value in the [text] of the file.
 */
internal fun nameKey(
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
