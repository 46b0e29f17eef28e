package hawthorncrank.consensus

import kotlin.test.Test
import kotlin.test.assertTrue

class GeneratedHistoryTest {
    /** Guards against any loss, change or reordering of committed records, stale reads, and groups that stay stuck. */
    @Test
    fun `generated histories keep every promise and recover`() {
        val count = System.getProperty("hawthorncrank.histories")?.toLong() ?: 300L
        val totals = mutableMapOf<String, Long>()
        for (seed in 1..count) {
            val history = GeneratedHistory(seed)
            try {
                history.run()
            } catch (failure: IllegalStateException) {
                throw AssertionError("seed $seed: ${failure.message}", failure)
            }
            history.counts().forEach { (name, value) -> totals.merge(name, value.toLong(), Long::plus) }
        }
        println("histories: seeds 1 to $count, $totals")
        assertTrue(totals.values.all { it > 0 })
    }
}
