package hawthorncrank.operator

import hawthorncrank.common.SettingsFailure
import hawthorncrank.common.SettingsFailure.InvalidValue
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The settings file of the command line: the link addresses of the control replicas and the operator's credentials. */
@Serializable
data class OperatorSettings(
    val control: List<String>,
    val operator: String,
    val key: String,
    @SerialName("fleet_key")
    val fleetKey: String,
)

/** Returns a failure for the first invalid setting, or null if all are valid. */
internal fun OperatorSettings.firstFailure(file: String): SettingsFailure? =
    when {
        control.isEmpty() ->
            InvalidValue(
                file,
                "control",
                "it is empty",
                "list the link addresses of the control replicas",
            )
        operator.isBlank() -> InvalidValue(file, "operator", "it is empty", "write the operator's name")
        key.isBlank() -> InvalidValue(file, "key", "it is empty", "write the operator's key, not its hash")
        fleetKey.isBlank() -> InvalidValue(file, "fleet_key", "it is empty", "use the key that all processes share")
        else -> null
    }
