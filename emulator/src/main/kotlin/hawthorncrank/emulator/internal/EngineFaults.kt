package hawthorncrank.emulator.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The body of POST /admin/faults. An absent field leaves that fault unchanged. [silent] withholds every answer;
 * [silenceConnections] withholds answers on the connections that are open now, while new connections work.
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
