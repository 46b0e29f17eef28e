package hawthorncrank.entry.core

import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Runs actions in virtual time, in the order of their times and without waiting. All random choices come from the seed.
 */
internal class Simulation(
    seed: Long,
) {
    val random = Random(seed)
    var now = 1_000_000L
        private set
    private var sequence = 0L
    private val queue = PriorityQueue<Planned>(compareBy<Planned> { it.at }.thenBy { it.sequence })

    fun after(
        delay: Long,
        action: () -> Unit,
    ) {
        queue.add(Planned(now + delay, sequence++, action))
    }

    fun every(
        period: Long,
        continues: () -> Boolean,
        action: () -> Unit,
    ) {
        after(period) {
            if (continues()) {
                action()
                every(period, continues, action)
            }
        }
    }

    fun runUntil(end: Long) {
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val next = queue.poll()
            now = next.at
            next.action()
        }
        now = end
    }

    fun chance(percent: Int): Boolean = random.nextInt(100) < percent

    fun between(
        least: Long,
        most: Long,
    ): Long = random.nextLong(least, most + 1)

    private class Planned(
        val at: Long,
        val sequence: Long,
        val action: () -> Unit,
    )
}
