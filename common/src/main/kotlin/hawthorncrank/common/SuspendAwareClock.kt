package hawthorncrank.common

/**
 * Creates a clock whose [MillisecondClock.now] includes the time during which the machine was suspended. The monotonic
 * clock stops during a suspension, so a lease would seem younger than it is. A suspension is detected when the time of
 * day moves ahead of the monotonic clock. Setting the time of day forward looks the same; it only makes leases and
 * waits end early.
 */
fun suspendAwareClock(base: MillisecondClock = systemClock()): MillisecondClock = SuspendAwareClock(base)

private class SuspendAwareClock(
    private val base: MillisecondClock,
) : MillisecondClock {
    private var largestOffset = base.wallTime() - base.now()
    private var suspendedMilliseconds = 0L

    @Synchronized
    override fun now(): Long {
        val monotonic = base.now()
        val offset = base.wallTime() - monotonic
        val jump = offset - largestOffset
        if (jump >= SMALLEST_SUSPENSION_MILLISECONDS) suspendedMilliseconds += jump
        largestOffset = maxOf(largestOffset, offset)
        return monotonic + suspendedMilliseconds
    }

    override fun wallTime(): Long = base.wallTime()

    private companion object {
        // Larger than any correction that clock synchronisation makes between two readings.
        const val SMALLEST_SUSPENSION_MILLISECONDS = 50L
    }
}
