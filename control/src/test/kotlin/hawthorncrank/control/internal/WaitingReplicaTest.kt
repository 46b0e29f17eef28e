package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Tests a replica for which the group has no place, as the successor of a machine that is about to be removed. */
class WaitingReplicaTest {
    private val group =
        VirtualGroup(
            size = 4,
            initialMembers = List(3) { "control-${it + 1}" },
            timeouts = ReplicaSettings(emptyList(), targetVoters = 3),
        )

    /** Fails if nobody notices that a machine of the core protects nothing. */
    @Test
    fun `the status names a replica that waits, and that replica says so itself`() {
        assertTrue(status(group.leader()).any { it.startsWith("  waiting control-4") }, "${status(group.leader())}")
        assertContains(status("control-4"), "  group: none; this replica waits to be admitted")
        val metrics = ControlMetrics({ group.state(group.leader()) }, { 0 }).scrape()
        assertContains(metrics, "hawthorncrank_control_waiting_replicas 1.0")
        assertContains(ControlMetrics({ group.state("control-4") }, { 0 }).scrape(), "control_awaits_admission 1.0")
    }

    private fun status(name: String): List<String> =
        assertIs<OperatorAnswer.Report>(group.execute(name, OperatorCommand.Status)).lines
}
