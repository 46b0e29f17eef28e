package hawthorncrank.control

import kotlinx.serialization.Serializable

/**
 * The machine that makes the calls which the platform accepts from one machine at a time. [token] rises with every change of
 * [holder], which took the duties as the leader of [term].
 */
@Serializable
data class DutyState(
    val holder: String = "",
    val token: Long = 0,
    val term: Long = 0,
)
