package hawthorncrank.common

/**
 * A clock whose [MillisecondClock.now] also counts the time in which the machine was suspended. The steady clock stands
 * still then, so that a lease would seem younger than it is. Suspended time is recognised by the time of day moving ahead
 * of the steady clock; a time of day that is set forward looks the same and only ends leases and waits early.
 */
fun suspendAwareClock(base: MillisecondClock = systemClock()): MillisecondClock = SuspendAwareClock(base)

private class SuspendAwareClock(
    private val base: MillisecondClock,
) : MillisecondClock {
    private var largestOffset = base.wallTime() - base.now()
    private var suspended = 0L

    @Synchronized
    override fun now(): Long {
        val steady = base.now()
        val offset = base.wallTime() - steady
        val jump = offset - largestOffset
        if (jump >= SMALLEST_SUSPENSION_MILLISECONDS) suspended += jump
        largestOffset = maxOf(largestOffset, offset)
        return steady + suspended
    }

    override fun wallTime(): Long = base.wallTime()

    private companion object {
        // Above what clock discipline moves the time of day between two readings.
        const val SMALLEST_SUSPENSION_MILLISECONDS = 50L
    }
}
