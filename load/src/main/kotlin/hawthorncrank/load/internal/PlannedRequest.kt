package hawthorncrank.load.internal

import hawthorncrank.load.ClassLoad
import hawthorncrank.load.OrganisationLoad

/**
 * One request of the schedule. [time] is the scheduled send time in nanoseconds from the start; it does not depend on
 * earlier requests.
 */
internal class PlannedRequest(
    val number: Int,
    val time: Long,
    val load: ClassLoad,
    val organisation: OrganisationLoad,
    val entry: String,
    val outputTokens: Int,
    val leaves: Boolean,
    val resends: Int,
)
