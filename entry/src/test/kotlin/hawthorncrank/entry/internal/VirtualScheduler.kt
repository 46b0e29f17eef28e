package hawthorncrank.entry.internal

import reactor.core.Disposable
import reactor.core.scheduler.Scheduler
import java.util.concurrent.TimeUnit

/** Runs scheduled tasks on the caller's thread when [advance] moves the time on. */
internal class VirtualScheduler : Scheduler {
    private val tasks = mutableListOf<Task>()
    private var now = 0L

    fun advance(milliseconds: Long) {
        val end = now + milliseconds
        generateSequence { tasks.filter { !it.isDisposed && it.at <= end }.minByOrNull { it.at } }.forEach(::runTask)
        now = end
    }

    override fun now(unit: TimeUnit): Long = unit.convert(now, TimeUnit.MILLISECONDS)

    override fun schedule(task: Runnable): Disposable = schedule(task, 0, TimeUnit.MILLISECONDS)

    override fun schedule(
        task: Runnable,
        delay: Long,
        unit: TimeUnit,
    ): Disposable = add(task, unit.toMillis(delay), period = null)

    override fun schedulePeriodically(
        task: Runnable,
        initialDelay: Long,
        period: Long,
        unit: TimeUnit,
    ): Disposable = add(task, unit.toMillis(initialDelay), unit.toMillis(period))

    override fun createWorker(): Scheduler.Worker =
        object : Scheduler.Worker {
            override fun schedule(task: Runnable): Disposable = this@VirtualScheduler.schedule(task)

            override fun schedule(
                task: Runnable,
                delay: Long,
                unit: TimeUnit,
            ): Disposable = this@VirtualScheduler.schedule(task, delay, unit)

            override fun schedulePeriodically(
                task: Runnable,
                initialDelay: Long,
                period: Long,
                unit: TimeUnit,
            ): Disposable = this@VirtualScheduler.schedulePeriodically(task, initialDelay, period, unit)

            override fun dispose() = Unit
        }

    private fun add(
        action: Runnable,
        delay: Long,
        period: Long?,
    ): Task = Task(action, now + delay, period).also(tasks::add)

    private fun runTask(task: Task) {
        now = task.at
        tasks.remove(task)
        if (task.period != null) {
            task.at += task.period
            tasks.add(task)
        }
        task.action.run()
    }

    private class Task(
        val action: Runnable,
        var at: Long,
        val period: Long?,
    ) : Disposable {
        private var disposed = false

        override fun dispose() {
            disposed = true
        }

        override fun isDisposed(): Boolean = disposed
    }
}
