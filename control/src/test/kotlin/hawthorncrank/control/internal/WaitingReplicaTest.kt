package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
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

    /** Fails if the removed machine keeps its vote until the others notice its silence. */
    @Test
    fun `a replica stops only when the waiting one has its place`() {
        listOf<(VirtualGroup) -> String>(VirtualGroup::leader, VirtualGroup::follower).forEach { choose ->
            val group =
                VirtualGroup(
                    size = 4,
                    initialMembers = List(3) { "control-${it + 1}" },
                    timeouts = ReplicaSettings(emptyList(), targetVoters = 3),
                )
            val leaving = choose(group)
            group.deliver(leaving, ControlEvent.Leave)
            assertFalse(leaving in group.readyToStop, "$leaving may stop before it has a successor")
            group.run(3_000)
            assertEquals(listOf(leaving), group.readyToStop)
            val voters =
                group
                    .state("control-4")
                    .replica.membership.voters
                    .map { it.name }
            assertEquals(listOf("control-1", "control-2", "control-3", "control-4") - leaving, voters.sorted())
        }
    }

    /** Fails if the group counts too few entries, and entries do not learn of each other, after the first start. */
    @Test
    fun `an entry that links to a waiting replica stays unknown after the replica is admitted`() {
        group.entry("control-4", 1, EntryToControl.EntryHello("entry-1", "zone", 0), "entry-1")
        group.run(500)
        group.deliver(group.follower(), ControlEvent.Leave)
        group.run(10_000)
        assertEquals(
            "control-4",
            group
                .state(group.leader())
                .control.entries["entry-1"]
                ?.replica,
        )
    }

    @Test
    fun `a replica may stop at once while none waits`() {
        val group = VirtualGroup(size = 3, timeouts = ReplicaSettings(emptyList(), targetVoters = 3))
        group.deliver("control-2", ControlEvent.Leave)
        assertEquals(listOf("control-2"), group.readyToStop)
    }

    private fun status(name: String): List<String> =
        assertIs<OperatorAnswer.Report>(group.execute(name, OperatorCommand.Status)).lines
}
