package hawthorncrank.consensus

import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against a second group, and against a group that ends although no more machines were lost than it tolerates. */
class DiscoveredHistoryTest {
    @Test
    fun `a group whose machines are replaced, frozen, cut off and wiped in any order stays one and recovers`() {
        val count = System.getProperty("hawthorncrank.histories")?.toLong() ?: 300L
        val totals = HashMap<String, Int>()
        val failures = ArrayList<String>()
        for (seed in 1..count) {
            try {
                DiscoveredHistory(seed).run().forEach { (fault, number) -> totals.merge(fault, number, Int::plus) }
            } catch (failure: IllegalStateException) {
                failures += "seed $seed: ${failure.message}"
            }
        }
        println("histories of discovered groups: seeds 1 to $count, $totals")
        assertTrue(failures.isEmpty(), "${failures.size} of $count failed\n${failures.take(5).joinToString("\n")}")
        assertTrue(totals.size == FAULTS, "faults: $totals")
    }
}

private const val FAULTS = 7
