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
        var changes = 0L
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
            changes += history.changes
        }
        println(
            "histories: seeds 1 to $count, $steps steps, " +
                "$records records, $reads reads, $losses lost disks, $changes changes",
        )
        assertTrue(listOf(steps, records, reads, losses, changes).all { it > 0 })
    }

    private companion object {
        const val DEFAULT_HISTORIES = 60L
    }
}
