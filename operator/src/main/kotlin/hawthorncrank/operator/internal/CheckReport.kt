package hawthorncrank.operator.internal

import kotlinx.serialization.Serializable

/**
 * The result of a configuration check. [currentVersion] and [differences] are null unless the file was compared with the
 * version in force.
 */
@Serializable
internal data class CheckReport(
    val file: String,
    val findings: List<ConfigurationFinding>,
    val currentVersion: Long? = null,
    val differences: List<String>? = null,
) {
    /** Returns 0 for a sound configuration, 1 for warnings if [strict], and 2 for errors. */
    fun exitCode(strict: Boolean): Int =
        when {
            findings.any { it.severity == FindingSeverity.ERROR } -> EXIT_ERRORS
            strict && findings.isNotEmpty() -> EXIT_WARNINGS
            else -> 0
        }

    fun lines(): List<String> =
        findings.map { "${it.severity.name.lowercase()}: ${it.problem}; ${it.remedy}" } +
            summary() +
            differenceLines()

    private fun summary(): String {
        val errors = findings.count { it.severity == FindingSeverity.ERROR }
        return "$file: $errors errors, ${findings.size - errors} warnings"
    }

    private fun differenceLines(): List<String> {
        val named = differences ?: return emptyList()
        if (named.isEmpty()) return listOf("no difference from version $currentVersion")
        return listOf("differences from version $currentVersion:") + named.map { "  $it" }
    }
}

/** The exit code for warnings in strict mode. */
internal const val EXIT_WARNINGS = 1

/** The exit code for a configuration that is refused or cannot be checked. */
internal const val EXIT_ERRORS = 2
