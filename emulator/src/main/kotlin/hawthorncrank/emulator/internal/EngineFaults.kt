package hawthorncrank.emulator.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The body of POST /admin/faults. Absent fields leave the fault as it is. [silent] holds back every answer;
 * [silenceConnections] holds back answers on the connections that are open now, while new ones work.
 */
@Serializable
internal data class EngineFaults(
    @SerialName("slow_factor")
    val slowFactor: Double? = null,
    val silent: Boolean? = null,
    @SerialName("silence_connections")
    val silenceConnections: Boolean = false,
    @SerialName("drop_connections")
    val dropConnections: Boolean = false,
    val crash: Boolean = false,
    @SerialName("refuse_for_milliseconds")
    val refuseForMilliseconds: Long? = null,
    @SerialName("refuse_work")
    val refuseWork: Boolean? = null,
    @SerialName("crash_marker")
    val crashMarker: String? = null,
)
