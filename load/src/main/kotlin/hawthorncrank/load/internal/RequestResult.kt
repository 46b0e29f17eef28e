package hawthorncrank.load.internal

import hawthorncrank.load.ClassLoad

/** How a request ended from its caller's point of view. */
internal enum class Ending(
    val text: String,
) {
    WHOLE("whole"),
    REFUSED("refused"),
    INTERRUPTED("interrupted"),
    WRONG("wrong"),
    LEFT("left"),
    NOT_SENT("not sent"),
    UNFINISHED("unfinished"),
}

/** Latencies are in milliseconds from the scheduled time of the first send and include all resends. */
internal class RequestResult(
    val planned: PlannedRequest,
    val ending: Ending,
    val status: Int?,
    val firstToken: Double?,
    val total: Double,
    val tokenIntervals: List<Double>,
    val sends: Int,
) {
    val attained: Boolean get() = ending == Ending.WHOLE && inTime(planned.load)

    private fun inTime(load: ClassLoad): Boolean {
        val first = firstToken ?: total
        val between = percentile95(tokenIntervals)
        return (load.firstToken == null || first <= load.firstToken.value) &&
            (load.betweenTokens == null || between <= load.betweenTokens.value) &&
            (load.finishBy == null || total <= load.finishBy.value)
    }

    private fun percentile95(values: List<Double>): Double =
        if (values.isEmpty()) 0.0 else values.sorted()[((values.size - 1) * 0.95).toInt()]
}
