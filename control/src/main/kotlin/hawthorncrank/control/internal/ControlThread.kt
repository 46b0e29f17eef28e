package hawthorncrank.control.internal

import hawthorncrank.common.EventLog
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.Reducer
import hawthorncrank.common.Transition
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * The only thread that changes the state of the process. It reduces events in the order of their arrival and carries
 * out the effects. An exception in the reducer ends the process: the replica must not continue from a state that its
 * peers may not share.
 */
internal class ControlThread(
    private val reducer: Reducer<ProcessState, ControlEvent, ControlEffect>,
    started: Transition<ProcessState, ControlEffect>,
    private val clock: MillisecondClock,
    private val log: EventLog,
    private val carryOut: (ControlEffect) -> Unit,
    private val onFatalError: () -> Unit,
) {
    private val queue = LinkedBlockingQueue<ControlEvent>()
    private val thread = Thread(::run, "control").apply { isDaemon = true }
    private val initialEffects = started.effects

    @Volatile private var open = true

    /** The state after the newest reduction, for readers on other threads. */
    @Volatile var state: ProcessState = started.state
        private set

    /** When the newest reduction ended. */
    @Volatile var reducedAt: Long = clock.now()
        private set

    val running: Boolean get() = thread.isAlive

    fun start() = thread.start()

    fun send(event: ControlEvent) {
        queue.add(event)
    }

    /** Stops the thread after the events that are queued now. */
    fun stop() {
        open = false
        thread.join(STOP_MILLISECONDS)
    }

    private fun run() {
        try {
            initialEffects.forEach(::execute)
            var nextTick = clock.now()
            while (open || queue.isNotEmpty()) {
                val now = clock.now()
                val isDue = now >= nextTick
                val event = if (isDue) ControlEvent.Tick(clock.wallTime()) else pollEvent(nextTick - now)
                if (isDue) nextTick = now + TICK_MILLISECONDS
                event?.let(::reduce)
            }
        } catch (failure: Exception) {
            log.record(ControlEventCode.REDUCER_FAILED, "error" to failure)
            onFatalError()
        }
    }

    private fun pollEvent(milliseconds: Long): ControlEvent? = queue.poll(milliseconds, TimeUnit.MILLISECONDS)

    private fun reduce(event: ControlEvent) {
        val transition = reducer.reduce(state, event, clock.now())
        state = transition.state
        reducedAt = clock.now()
        transition.effects.forEach(::execute)
    }

    /**
     * An effect that fails is only logged: lost messages and orders are repeated, and anything that must not be lost
     * goes through the storage thread.
     */
    private fun execute(effect: ControlEffect) {
        try {
            carryOut(effect)
        } catch (failure: RuntimeException) {
            val kind = effect.javaClass.simpleName
            log.record(ControlEventCode.EFFECT_FAILED, "effect" to kind, "error" to failure)
        }
    }

    private companion object {
        const val TICK_MILLISECONDS = 100L
        const val STOP_MILLISECONDS = 5_000L
    }
}
