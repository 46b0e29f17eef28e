package hawthorncrank.consensus

import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against a second group, and against a group that ends although no more machines were lost than it tolerates. */
class DiscoveredHistoryTest {
    @Test
    fun `a group whose machines are replaced, frozen, cut off and wiped in any order stays one and recovers`() {
        val totals = HashMap<String, Int>()
        runHistories("histories of discovered groups") { history ->
            history.run().forEach { (fault, number) -> totals.merge(fault, number, Int::plus) }
        }
        println("faults in histories of discovered groups: $totals")
        assertTrue(totals.size == FAULTS, "faults: $totals")
    }

    /** Guards against a group that needs a machine without power to tell a lost disk from a first start. */
    @Test
    fun `a group recovers after disks of voters were lost at the moment at which all other machines lost power`() {
        runHistories("histories that end with lost disks and power") { history ->
            history.run()
            history.endWithLostDisksAndPower()
        }
    }

    private fun runHistories(
        name: String,
        run: (DiscoveredHistory) -> Unit,
    ) {
        val count = System.getProperty("hawthorncrank.histories")?.toLong() ?: 300L
        val failures = ArrayList<String>()
        for (seed in 1..count) {
            try {
                run(DiscoveredHistory(seed))
            } catch (failure: IllegalStateException) {
                failures += "seed $seed: ${failure.message}"
            }
        }
        println("$name: seeds 1 to $count, ${failures.size} failed")
        assertTrue(failures.isEmpty(), "${failures.size} of $count failed\n${failures.take(5).joinToString("\n")}")
    }
}

private const val FAULTS = 7
