package hawthorncrank.operator.internal

/** The output formats of the configuration check. */
internal enum class CheckFormat {
    TEXT,
    JSON,
}
