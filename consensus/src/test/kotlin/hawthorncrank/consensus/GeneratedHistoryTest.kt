package hawthorncrank.consensus

import kotlin.test.Test
import kotlin.test.assertTrue

class GeneratedHistoryTest {
    /** Fails on lost, changed or reordered committed records, on stale reads, and on groups that do not recover. */
    @Test
    fun `generated histories violate no invariant and recover`() {
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
