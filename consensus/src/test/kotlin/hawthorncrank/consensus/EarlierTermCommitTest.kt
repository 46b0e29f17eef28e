package hawthorncrank.consensus

import hawthorncrank.consensus.internal.Safeguards
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/**
 * Tests that a leader does not commit a record of an earlier term only because a majority has it: a leader of a term in
 * between can still overwrite it. Generated histories rarely produce this sequence of events, so it is scripted.
 */
class EarlierTermCommitTest {
    @Test
    fun `a record of an earlier term is not committed by counting replicas`() {
        val group = overwriteEarlierTerm(Safeguards())
        assertTrue(group.run(20_000, until = group::isHealthy))
        assertEquals(emptyList(), group.replicas.getValue("b").application)
    }

    @Test
    fun `the script detects a commit by counting replicas`() {
        assertFailsWith<Violation> {
            overwriteEarlierTerm(Safeguards(ownTermCommits = false)).run(20_000)
        }
    }

    private fun overwriteEarlierTerm(safeguards: Safeguards): SimulatedGroup {
        val group = SimulatedGroup(seed = 5, safeguards = safeguards) { it.copy(maximumRecordsPerMessage = 1) }
        assertTrue(group.run(20_000, until = { group.isHealthy() && group.leader?.name == "a" }))
        group.isolate("a")
        group.propose("a")
        val earlierIndex =
            group.replicas
                .getValue("a")
                .state!!
                .lastIndex
        group.run(50)
        group.crash("a")
        assertTrue(group.run(60_000, until = { group.leader != null }))
        val interveningLeader = group.leader!!.name
        val third = listOf("b", "c").first { it != interveningLeader }
        group.cutLinks += interveningLeader to third
        group.run(50)
        group.crash(interveningLeader)
        group.cutLinks.clear()
        group.start("a")
        assertTrue(
            group.run(20_000, until = {
                group.state(third).lastIndex == earlierIndex
            }),
        )
        assertEquals("a", group.leader?.name)
        group.cutLinks += "a" to third
        group.run(50)
        group.crash("a")
        group.cutLinks.clear()
        group.start(interveningLeader)
        assertTrue(group.run(20_000, until = { group.leader?.name == interveningLeader }))
        group.start("a")
        return group
    }
}
