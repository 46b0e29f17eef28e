package hawthorncrank.bench.internal

import java.util.PriorityQueue

/** An event queue in virtual time. Actions for the same time run in the order in which they were scheduled. */
internal class VirtualTime {
    private val actions = PriorityQueue<Scheduled>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    var now = 0L
        private set

    fun at(
        time: Long,
        action: () -> Unit,
    ) {
        actions += Scheduled(maxOf(time, now), order++, action)
    }

    fun runUntil(end: Long) {
        while (true) {
            val next = actions.peek() ?: return
            if (next.at > end) return
            actions.poll()
            now = next.at
            next.action()
        }
    }

    private class Scheduled(
        val at: Long,
        val order: Long,
        val action: () -> Unit,
    )
}
