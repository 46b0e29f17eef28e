package hawthorncrank.routing

/**
 * A server that shares its speed among the requests in progress once there are more than [slots]. Work takes [slowdown]
 * times as long at a time since its return and with a number of requests in progress. With more than [failsAbove] requests at a time since its return all of them
 * fail, and it is down for a second. It reads a part of a prompt once, which takes [readingMilliseconds].
 */
internal class WarmUpServer(
    val name: String,
    private val slots: Int,
    private val slowdown: (Double, Int) -> Double = { _, _ -> 1.0 },
    private val failsAbove: (Double) -> Int = { Int.MAX_VALUE },
    private val readingMilliseconds: Double = 0.0,
) {
    private val remaining = LinkedHashMap<WarmUpRequest, Double>()
    private val partsRead = HashSet<Long>()
    private var downUntil = Double.NEGATIVE_INFINITY
    var mostInProgress = 0

    val inProgress: Int
        get() = remaining.size

    fun isUp(now: Double) = now >= downUntil

    fun submit(
        request: WarmUpRequest,
        milliseconds: Double,
    ) {
        remaining[request] = milliseconds + if (request.part in partsRead) 0.0 else readingMilliseconds
        mostInProgress = maxOf(mostInProgress, remaining.size)
    }

    /** Returns the requests that ended in the step, and whether they failed. */
    fun step(
        now: Double,
        milliseconds: Double,
    ): Map<WarmUpRequest, Boolean> {
        if (!isUp(now) || remaining.size > failsAbove(now)) {
            if (isUp(now)) downUntil = now + DOWN_MILLISECONDS
            return remaining.keys.associateWith { true }.also { remaining.clear() }
        }
        val progress =
            milliseconds * minOf(1.0, slots / maxOf(1.0, remaining.size.toDouble())) / slowdown(now, remaining.size)
        remaining.replaceAll { _, left -> left - progress }
        val ended = remaining.filterValues { it <= 0 }.keys
        partsRead += ended.map { it.part }
        remaining -= ended
        return ended.associateWith { false }
    }

    private companion object {
        const val DOWN_MILLISECONDS = 1_000.0
    }
}

internal class WarmUpRequest(
    val number: Long,
    val arrival: Long,
    val part: Long,
)
