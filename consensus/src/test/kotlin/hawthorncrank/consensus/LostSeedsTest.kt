package hawthorncrank.consensus

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against a second group. Of six machines five have a vote. If the sixth is a seed and the other two seeds lose
 * their disks, all three seeds belong to no group, and the sixth has never restarted.
 */
class LostSeedsTest {
    @Test
    fun `a seed without a vote forms no second group when the other seeds lose their disks`() {
        for (seed in 1L..40L) {
            val machines = sixMachines(seed, last = "m3")
            loseBothOtherSeeds(machines)
            assertTrue(machines.group.run(30_000, until = machines::isWhole), "seed $seed: ${machines.groups}")
            machines.group.run(10_000)
            assertEquals(1, machines.groups.size, "seed $seed: ${machines.groups}")
            val leader = machines.group.leader!!
            assertEquals(machines.outside, leader.state!!.waitingReplicas.map { it.name }, "seed $seed")
        }
    }

    /** It was cut off from the first start on, so it never heard of the group. */
    @Test
    fun `a seed that never heard of the group forms no second one`() {
        for (seed in 1L..40L) {
            val machines = DiscoveredGroup(seed, machines = 6, tolerated = 2)
            machines.form(order = listOf("m1", "m2", "m4", "m5", "m6", "m3"), reachedBy = 5)
            loseBothOtherSeeds(machines)
            machines.group.cutLinks.clear()
            machines.group.run(40_000)
            assertEquals(1, machines.groups.size, "seed $seed: ${machines.groups}")
        }
    }

    /** The seeds know only each other, and none of them can lead the group. */
    @Test
    fun `machines whose seeds are all outside the group find it again`() {
        val machines = sixMachines(seed = 3, last = "m3")
        val ticket = machines.group.propose(machines.group.leader!!.name)
        machines.group.run(1_000)
        loseBothOtherSeeds(machines)
        assertTrue(machines.group.run(4_000, until = machines::isWhole), "voters: ${machines.group.voters}")
        assertTrue(
            machines.group.voters.all {
                "$ticket" in
                    machines.group.replicas
                        .getValue(it.name)
                        .application
            },
        )
    }

    /** Votes go to the machines in the order in which they ask, so each of the five others may be the one without a vote. */
    @Test
    fun `a seed remains without a vote as often as any other machine`() {
        val outside =
            (1L..200L).map { seed ->
                val machines = DiscoveredGroup(seed, machines = 6, tolerated = 2)
                machines.startWithin(1_500)
                machines.outside.single()
            }
        val seeds = outside.count { it == "m2" || it == "m3" }
        assertTrue(seeds in 50..110, "a seed had no vote in $seeds of ${outside.size} starts")
    }

    private fun sixMachines(
        seed: Long,
        last: String,
    ): DiscoveredGroup {
        val machines = DiscoveredGroup(seed, machines = 6, tolerated = 2)
        val others = listOf("m2", "m3", "m4", "m5", "m6").filter { it != last }.shuffled(machines.random)
        machines.form(listOf("m1") + others + last)
        assertEquals(listOf(last), machines.outside)
        return machines
    }

    private fun loseBothOtherSeeds(machines: DiscoveredGroup) {
        listOf("m1", "m2").forEach(machines::loseDisk)
        machines.group.run(1_000)
        listOf("m1", "m2").forEach(machines::start)
    }
}
