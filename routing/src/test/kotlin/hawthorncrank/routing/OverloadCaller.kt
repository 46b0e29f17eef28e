package hawthorncrank.routing

/** The caller of a stream. It leaves at its deadline, or after a pause that is long for the class. */
internal class OverloadCaller(
    var stream: SimulatedStream,
    private val tokensPerEvent: Int,
) {
    val deadline = stream.arrivedAt + stream.kind.deadline
    var offeredAt = stream.arrivedAt
    var engine: String? = null
    var lastEventAt: Double? = null
    var progressAt = 0.0
    var served = false
    var returned = false
    var brokenOff = false

    val kind: StreamKind get() = stream.kind

    /** What the answer costs an engine, in prompt tokens: a generated token costs as much as ten of them. */
    val size: Int
        get() = kind.sharedTokens + kind.ownTokens + GENERATED_TOKEN * kind.events * tokensPerEvent

    val onTime: Boolean
        get() = served && !returned && stream.onTime

    fun leavesBy(now: Double): Boolean = now >= deadline || now - (lastEventAt ?: offeredAt) > longestPause()

    private fun longestPause(): Double = maxOf(LEAST_PATIENCE, 4.0 * kind.firstEvent, 8.0 * kind.pause)

    private companion object {
        const val GENERATED_TOKEN = 10
        const val LEAST_PATIENCE = 2_000.0
    }
}
