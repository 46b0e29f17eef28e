package hawthorncrank.entry.internal

import hawthorncrank.common.EventLog
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.Reducer
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * The single thread that runs the reducer. It takes events in order of arrival, reduces each one with the time at which
 * it was taken, and executes the resulting effects. It also generates [EntryEvent.Tick], even while events are queued, and
 * [EntryEvent.MachineSuspended] before any event that was taken after a suspension.
 * [measureDelay] gets the milliseconds that each event waited in the queue, and [failed] each event that the reducer could
 * not process.
 */
internal class ControlThread<State>(
    private val reducer: Reducer<State, EntryEvent, EntryEffect>,
    initial: State,
    private val clock: MillisecondClock,
    private val log: EventLog,
    private val measureDelay: (Long) -> Unit,
    private val failed: (EntryEvent) -> Unit,
    private val execute: (EntryEffect) -> Unit,
) : AutoCloseable {
    private val queue = LinkedBlockingQueue<QueuedEvent>()
    private var state = initial
    private var nextDelayLog = clock.now()
    private var suspended = clock.suspended()

    @Volatile private var open = true
    private val thread = Thread(::run, "entry-control").apply { isDaemon = true }

    fun start() = thread.start()

    fun send(event: EntryEvent) {
        queue.add(QueuedEvent(event, clock.now()))
    }

    override fun close() {
        open = false
        thread.interrupt()
    }

    private fun run() {
        var nextTick = clock.now() + TICK_MILLISECONDS
        while (open) {
            val wait = nextTick - clock.now()
            val event =
                if (wait <= 0) {
                    nextTick = clock.now() + TICK_MILLISECONDS
                    EntryEvent.Tick
                } else {
                    poll(wait)
                }
            if (event == null) continue
            suspensionSince()?.let(::reduce)
            reduce(event)
        }
    }

    private fun suspensionSince(): EntryEvent? {
        val milliseconds = clock.suspended() - suspended
        suspended += milliseconds
        return if (milliseconds > 0) EntryEvent.MachineSuspended(milliseconds) else null
    }

    private fun poll(milliseconds: Long): EntryEvent? =
        try {
            queue.poll(milliseconds, TimeUnit.MILLISECONDS)?.let(::taken)
        } catch (_: InterruptedException) {
            null
        }

    private fun taken(queued: QueuedEvent): EntryEvent {
        val now = clock.now()
        val delay = now - queued.at
        measureDelay(delay)
        if (delay >= LOGGED_DELAY_MILLISECONDS && now >= nextDelayLog) {
            nextDelayLog = now + DELAY_LOG_INTERVAL_MILLISECONDS
            log.record(EntryEventCode.EVENTS_DELAYED, "delay" to delay, "queued" to queue.size)
        }
        return queued.event
    }

    // Nothing thrown by the reducer may end the thread, not even a stack overflow: the previous state, which is immutable,
    // is kept, and other requests continue.
    private fun reduce(event: EntryEvent) {
        val transition =
            try {
                reducer.reduce(state, event, clock.now())
            } catch (failure: Throwable) {
                log.record(EntryEventCode.REDUCER_FAILED, "decided" to event.javaClass.simpleName, "error" to failure)
                return failed(event)
            }
        state = transition.state
        transition.effects.forEach { effect ->
            try {
                execute(effect)
            } catch (failure: Throwable) {
                log.record(EntryEventCode.EFFECT_FAILED, "effect" to effect.javaClass.simpleName, "error" to failure)
            }
        }
    }

    private companion object {
        const val TICK_MILLISECONDS = 100L
        const val LOGGED_DELAY_MILLISECONDS = 250L
        const val DELAY_LOG_INTERVAL_MILLISECONDS = 1_000L
    }
}

private class QueuedEvent(
    val event: EntryEvent,
    val at: Long,
)
