package hawthorncrank.consensus

import hawthorncrank.consensus.internal.Safeguards
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/**
 * A record of an earlier term on a majority can still be overwritten by a leader of a term in between. The generated
 * histories rarely meet the needed order, so it is scripted.
 */
class EarlierTermCommitTest {
    @Test
    fun `a record of an earlier term is not committed by count`() {
        val group = overwriteEarlierTerm(Safeguards())
        assertTrue(group.run(20_000, until = group::isHealthy))
        assertEquals(emptyList(), group.replicas.getValue("b").application)
    }

    @Test
    fun `the script notices a commit by count`() {
        assertFailsWith<Violation> {
            overwriteEarlierTerm(Safeguards(ownTermCommits = false)).run(20_000)
        }
    }

    private fun overwriteEarlierTerm(safeguards: Safeguards): SimulatedGroup {
        val group = SimulatedGroup(seed = 5, safeguards = safeguards) { it.copy(messageRecords = 1) }
        assertTrue(group.run(20_000, until = { group.isHealthy() && group.leader?.name == "a" }))
        group.isolate("a")
        group.propose("a")
        val earlier =
            group.replicas
                .getValue("a")
                .state!!
                .lastIndex
        group.run(50)
        group.crash("a")
        assertTrue(group.run(60_000, until = { group.leader != null }))
        val between = group.leader!!.name
        val third = listOf("b", "c").first { it != between }
        group.cuts += between to third
        group.run(50)
        group.crash(between)
        group.cuts.clear()
        group.start("a")
        assertTrue(
            group.run(20_000, until = {
                group.state(third).lastIndex == earlier
            }),
        )
        assertEquals("a", group.leader?.name)
        group.cuts += "a" to third
        group.run(50)
        group.crash("a")
        group.cuts.clear()
        group.start(between)
        assertTrue(group.run(20_000, until = { group.leader?.name == between }))
        group.start("a")
        return group
    }
}
