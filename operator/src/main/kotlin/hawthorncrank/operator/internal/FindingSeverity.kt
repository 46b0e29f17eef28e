package hawthorncrank.operator.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The control group refuses a configuration with an error; a warning does not prevent its use. */
@Serializable
internal enum class FindingSeverity {
    @SerialName("error")
    ERROR,

    @SerialName("warning")
    WARNING,
}
