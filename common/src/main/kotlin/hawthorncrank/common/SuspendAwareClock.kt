package hawthorncrank.common

/**
 * Creates a clock whose [MillisecondClock.now] does not count the time during which the machine was suspended, and whose
 * [MillisecondClock.suspended] does. Setting the time of day forward adds to the latter only, so it ends leases early, but
 * not the waits and deadlines of requests.
 */
fun suspensionDetectingClock(base: MillisecondClock = systemClock()): MillisecondClock {
    val detector = SuspensionDetector(base)
    return object : MillisecondClock by base {
        override fun suspended(): Long = detector.total()
    }
}

/**
 * Creates a clock whose [MillisecondClock.now] includes the time during which the machine was suspended, for processes whose
 * waits may all end early.
 */
fun suspendAwareClock(base: MillisecondClock = systemClock()): MillisecondClock {
    val detecting = suspensionDetectingClock(base)
    return object : MillisecondClock by base {
        override fun now(): Long = detecting.suspended().let { base.now() + it }
    }
}
