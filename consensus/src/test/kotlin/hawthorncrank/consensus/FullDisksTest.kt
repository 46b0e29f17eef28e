package hawthorncrank.consensus

import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Guards against changes that stay refused after disks were full one after the other, never two at once. A process whose
 * disk refuses a write ends and is started again, so it looks like a machine that is lost for some seconds.
 */
class FullDisksTest {
    @Test
    fun `changes are accepted again after all disks were full one after the other`() {
        for (seed in 1L..60L) {
            val tolerated = 1 + (seed % 2).toInt()
            val machines =
                DiscoveredGroup(seed, machines = 2 * tolerated + 1 + (seed % 3).toInt(), tolerated = tolerated)
            machines.form()
            machines.live.shuffled(machines.random).forEach { fillDisk(machines, it) }
            assertTrue(machines.group.run(20_000, until = machines::isWhole), "seed $seed: ${machines.group.voters}")
            val accepted = machines.group.commits(machines.group.leader!!.name, 5_000)
            assertTrue(accepted, "seed $seed: a change is refused although all machines run")
        }
    }

    /** Commands keep arriving at all machines, as the operator's do. */
    private fun fillDisk(
        machines: DiscoveredGroup,
        name: String,
    ) {
        val voters = machines.group.voters.map { it.name }
        val before =
            machines.group.replicas
                .getValue(name)
                .incarnation
        val duration = machines.random.nextLong(1_000, 6_000)
        machines.group.replicas
            .getValue(name)
            .diskFullUntil = machines.group.now + duration
        repeat((duration / STEP).toInt()) {
            machines.live
                .filter {
                    machines.group.replicas
                        .getValue(it)
                        .state != null
                }.forEach(machines.group::propose)
            machines.group.run(STEP)
        }
        assertTrue(
            machines.group.replicas
                .getValue(name)
                .incarnation > before || name !in voters,
            "$name wrote nothing",
        )
        machines.group.run(CATCH_UP)
    }

    private companion object {
        const val STEP = 250L
        const val CATCH_UP = 4_000L
    }
}
