package hawthorncrank.common

/**
 * The source of time of the product; only the load and bench tools read the system clock directly. Reducers never hold
 * a clock: the process reads it once per event and passes the value in, so that tests drive the same code in virtual
 * time.
 *
 * [now] counts milliseconds from an arbitrary origin and never goes back. [wallTime] is milliseconds since the Unix
 * epoch. It is for records that people read, for times and numbers that must be comparable between machines or across
 * restarts, and for detecting a suspension of the machine. [suspended] is the number of milliseconds for which the machine
 * may have been suspended so far, which [now] does not count. Only leases need it: they must not seem younger than they are.
 */
interface MillisecondClock {
    fun now(): Long

    fun wallTime(): Long

    fun suspended(): Long = 0
}

/** Creates the clock of a running process. */
fun systemClock(): MillisecondClock =
    object : MillisecondClock {
        override fun now(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND

        override fun wallTime(): Long = System.currentTimeMillis()
    }

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
