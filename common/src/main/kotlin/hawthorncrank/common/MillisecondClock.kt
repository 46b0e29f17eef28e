package hawthorncrank.common

/**
 * The source of time of the product; only the load and bench tools read the system clock directly. Reducers never hold
 * a clock: the process reads it once per event and passes the value in, so that tests drive the same code in virtual
 * time.
 *
 * [now] counts milliseconds from an arbitrary origin and never goes back. [wallTime] is milliseconds since the Unix
 * epoch. It is for records that people read, for times and numbers that must be comparable between machines or across
 * restarts, and for detecting a suspension of the machine.
 */
interface MillisecondClock {
    fun now(): Long

    fun wallTime(): Long
}

/** Creates the clock of a running process. */
fun systemClock(): MillisecondClock =
    object : MillisecondClock {
        override fun now(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND

        override fun wallTime(): Long = System.currentTimeMillis()
    }

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
