package hawthorncrank.common

/**
 * Adds up the time for which the machine was suspended, in milliseconds. The monotonic clock stops during a suspension, so
 * the time of day moves ahead of it. Setting the time of day forward looks the same and is counted too. After the time of
 * day was set back, a suspension is still recognised, because the offset between the clocks is followed in both directions.
 */
internal class SuspensionDetector(
    private val clock: MillisecondClock,
) {
    private var offset = clock.wallTime() - clock.now()
    private var suspended = 0L

    @Synchronized
    fun total(): Long {
        val before = clock.now()
        val wall = clock.wallTime()
        val after = clock.now()
        // A thread that waits for the processor between two of these readings must not look like a suspended machine.
        val leastOffset = wall - after
        val greatestOffset = wall - before
        if (leastOffset - offset >= SMALLEST_SUSPENSION_MILLISECONDS) suspended += leastOffset - offset
        offset = offset.coerceIn(leastOffset, greatestOffset)
        return suspended
    }

    private companion object {
        // Larger than any correction that clock synchronisation makes between two readings.
        const val SMALLEST_SUSPENSION_MILLISECONDS = 50L
    }
}
