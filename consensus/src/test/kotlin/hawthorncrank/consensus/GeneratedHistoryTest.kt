package hawthorncrank.consensus

import kotlin.test.Test
import kotlin.test.assertTrue

class GeneratedHistoryTest {
    /** Guards against any loss, change or reordering of committed records, stale reads, and groups that stay stuck. */
    @Test
    fun `generated histories keep every promise and recover`() {
        val count = System.getProperty("hawthorncrank.histories")?.toLong() ?: DEFAULT_HISTORIES
        var steps = 0L
        var records = 0L
        var reads = 0L
        var losses = 0L
        for (seed in 1..count) {
            val history = GeneratedHistory(seed)
            try {
                history.run()
            } catch (failure: IllegalStateException) {
                throw AssertionError("seed $seed: ${failure.message}", failure)
            }
            steps += history.group.steps
            records += history.group.checker.committed.size
            reads += history.group.checker.confirmedReads
            losses += history.lostDisks
        }
        println("histories: seeds 1 to $count, $steps steps, $records records, $reads reads, $losses lost disks")
        assertTrue(records > 0 && reads > 0 && losses > 0)
    }

    private companion object {
        const val DEFAULT_HISTORIES = 60L
    }
}
