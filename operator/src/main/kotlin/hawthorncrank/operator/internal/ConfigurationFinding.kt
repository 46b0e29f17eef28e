package hawthorncrank.operator.internal

import kotlinx.serialization.Serializable

/** What the configuration check reports. [problem] begins with the field and contains no key and no hash. */
@Serializable
internal data class ConfigurationFinding(
    val severity: FindingSeverity,
    val field: String,
    val problem: String,
    val remedy: String,
)

internal fun warning(
    field: String,
    detail: String,
    remedy: String,
) = ConfigurationFinding(FindingSeverity.WARNING, field, "$field: $detail", remedy)
