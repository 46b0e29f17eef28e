package hawthorncrank.emulator.internal

/**
 * The continuous batch of an engine: sequences join and leave between steps, and one step produces one token for every
 * running sequence whose prompt is processed. With [honoursPriority], a waiting sequence preempts the running sequence
 * that has the highest priority number, if its own number is lower. Only the engine's thread may use it.
 */
internal class Batch(
    private val slots: Int,
    private val prefillTokensPerStep: Int,
    private val honoursPriority: Boolean,
) {
    private val waiting = mutableListOf<Sequence>()
    private val runningSequences = mutableListOf<Sequence>()

    val running: Int get() = runningSequences.size
    val queued: Int get() = waiting.size
    val empty: Boolean get() = waiting.isEmpty() && runningSequences.isEmpty()

    fun add(sequence: Sequence) {
        val position = waiting.indexOfFirst { honoursPriority && it.priority > sequence.priority }
        if (position < 0) waiting.add(sequence) else waiting.add(position, sequence)
    }

    fun remove(sequence: Sequence) {
        waiting.remove(sequence)
        runningSequences.remove(sequence)
    }

    fun clear() {
        waiting.clear()
        runningSequences.clear()
    }

    /** Fills the slots, then advances every running sequence and returns those that are finished. */
    fun step(): List<Sequence> {
        admit()
        var prefillBudget = prefillTokensPerStep
        runningSequences.forEach { sequence ->
            if (sequence.prefillLeft > 0) {
                val share = minOf(prefillBudget, sequence.prefillLeft)
                sequence.prefillLeft -= share
                prefillBudget -= share
            } else {
                sequence.produce()
            }
        }
        val finished = runningSequences.filter { it.finished }
        runningSequences.removeAll(finished)
        return finished
    }

    private fun admit() {
        while (waiting.isNotEmpty()) {
            if (runningSequences.size >= slots && !preempt(waiting.first().priority)) return
            runningSequences.add(waiting.removeAt(0))
        }
    }

    private fun preempt(priority: Int): Boolean {
        if (!honoursPriority) return false
        val victim = runningSequences.maxByOrNull { it.priority } ?: return false
        if (victim.priority <= priority) return false
        runningSequences.remove(victim)
        add(victim)
        return true
    }
}
