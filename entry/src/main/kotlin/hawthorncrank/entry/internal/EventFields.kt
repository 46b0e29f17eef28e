package hawthorncrank.entry.internal

/** The lines of a server-sent event that are neither empty nor comments. */
internal fun fieldsOf(event: String): List<String> =
    event
        .split('\n')
        .map { it.removeSuffix("\r") }
        .filterNot { it.isEmpty() || it.startsWith(':') }

/** Whether [line] has the form of a field, with or without a value. Names of fields are in lower case. */
internal fun isField(line: String): Boolean = FIELD_NAME.matches(line.substringBefore(':'))

private val FIELD_NAME = Regex("[a-z][a-z0-9_-]*")
