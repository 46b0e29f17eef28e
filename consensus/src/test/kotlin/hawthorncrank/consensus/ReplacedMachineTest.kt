package hawthorncrank.consensus

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * A machine of the core is replaced as planned: its successor starts first and has its time to catch up, and the old
 * machine stops for good. Three machines have a vote, and one of them may be lost at a time.
 */
class ReplacedMachineTest {
    private val machines = DiscoveredGroup(seed = 11, machines = 3, tolerated = 1)
    private val group get() = machines.group

    /**
     * Fails if the places of the group follow only from silence: the removed machine then keeps its vote for seconds, and
     * one lost disk in this time leaves one of three votes.
     */
    @Test
    fun `a disk lost right after a planned replacement leaves the group a majority`() {
        listOf("m1", "m2").forEach { removed ->
            val machines = DiscoveredGroup(seed = 11, machines = 3, tolerated = 1)
            machines.form()
            machines.add()
            machines.group.run(CATCH_UP)
            machines.stopForGood(removed)
            val other =
                machines.group.voters
                    .first { it.name != "m4" && it.name != removed }
                    .name
            machines.loseDisk(other)
            machines.group.run(1_000)
            machines.start(other)
            assertTrue(machines.group.run(20_000, until = machines::isWhole), "$removed: ${machines.group.voters}")
            assertProgress(machines)
        }
    }

    /** Fails if a machine that was replaced while it was frozen is kept out for good. */
    @Test
    fun `a machine that was replaced while it was frozen takes the next free place`() {
        machines.form()
        val successor = machines.add()
        group.run(CATCH_UP)
        val frozen = group.followers().first { it != successor && it != "m1" }
        group.replicas.getValue(frozen).stalledUntil = group.now + FREEZE
        group.run(FREEZE + 8_000)
        assertTrue(group.voters.any { it.name == successor }, "voters: ${group.voters}")
        machines.stopForGood("m1")
        assertTrue(group.run(8_000, until = machines::isWhole), "voters: ${group.voters}")
        assertContains(group.voters.map { it.name }, frozen)
        val lost = machines.live.first { it != frozen && it != successor }
        machines.loseDisk(lost)
        group.run(1_000)
        machines.start(lost)
        assertTrue(group.run(20_000, until = machines::isWhole), "voters: ${group.voters}")
        assertProgress(machines)
    }

    /** Fails if the freeze ends between the admission of the successor and its vote, and the successor then waits forever. */
    @Test
    fun `a successor whose admission came to nothing takes the next free place`() {
        for (freeze in 1_400L..2_200L step 20) {
            val machines = DiscoveredGroup(seed = freeze, machines = 3, tolerated = 1)
            machines.form()
            val successor = machines.add()
            machines.group.run(CATCH_UP)
            val frozen = machines.group.followers().first { it != successor && it != "m1" }
            machines.group.replicas
                .getValue(frozen)
                .stalledUntil = machines.group.now + freeze
            machines.group.run(freeze + CATCH_UP)
            machines.remove("m1")
            assertTrue(
                machines.group.run(10_000, until = machines::isWhole),
                "$freeze ms: ${machines.group.checker.membership}",
            )
        }
    }

    /** Fails if a restart without a successor changes the voters. */
    @Test
    fun `a machine that stops while none waits keeps its place`() {
        machines.form()
        val before = group.voters
        group.deliver("m2", ReplicaEvent.Leave)
        assertFalse(group.state("m2").handingOver)
        group.deliver("m2", ReplicaEvent.Stop)
        machines.crash("m2")
        group.run(800)
        machines.start("m2")
        group.run(8_000)
        assertEquals(before.toSet(), group.voters.toSet())
    }

    /** Fails if operators cannot see a machine that asks in vain. */
    @Test
    fun `members name the machines that wait, and these say that they do`() {
        machines.form()
        group.events.clear()
        val successor = machines.add()
        group.run(CATCH_UP)
        listOf("m1", "m2", "m3").forEach { name ->
            assertEquals(listOf(successor), group.state(name).waitingReplicas.map { it.name }, name)
        }
        assertEquals(1, group.events.count { it.number == 3012 })
        assertEquals(1, group.events.count { it.number == 3013 })
    }

    private fun assertProgress(machines: DiscoveredGroup) {
        assertTrue(machines.group.commits(machines.group.leader!!.name, 5_000))
    }
}

private const val CATCH_UP = 4_500L
private const val FREEZE = 5_000L
