package hawthorncrank.consensus

import hawthorncrank.protocol.ReplicaMessage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests a group with a target size: one replica forms it, and others join without being named by an operator. */
class DiscoveryTest {
    private val group =
        SimulatedGroup(
            seed = 23,
            names = listOf("a"),
            spare = listOf("b", "c", "d"),
            adjustSettings = { it.copy(targetVoters = 3, lostVoterTimeout = 3_000) },
        )

    @Test
    fun `unknown replicas become voters up to the target size`() {
        awaitHealthy()
        assertEquals(3, group.voters.size)
        group.run(20_000)
        assertEquals(3, group.voters.size)
    }

    /** Fails if a permanently lost voter is not replaced, in which case the next loss would cost the majority. */
    @Test
    fun `a lost voter is replaced by a replica at another address`() {
        awaitHealthy()
        val outside = group.replicas.keys.single { name -> group.voters.none { it.name == name } }
        val lost = group.voters.first { it.name != group.leader!!.name }
        group.crash(lost.name)
        val replaced = { group.voters.any { it.name == outside } && group.voters.size == 3 }
        assertTrue(group.run(20_000, until = replaced), "voters: ${group.voters}")
        assertTrue(group.voters.none { it.identity == lost.identity })
    }

    /** Fails if a replica is replaced during a short restart, which would make the content of its disk useless. */
    @Test
    fun `a voter that restarts within the timeout is not replaced`() {
        awaitHealthy()
        val before = group.voters.toSet()
        val follower = group.voters.first { it.name != group.leader!!.name }.name
        group.crash(follower)
        group.run(2_000)
        group.start(follower)
        group.run(10_000)
        assertEquals(before, group.voters.toSet())
    }

    /** Fails if frequent reads delay the leader's periodic work, such as admitting a voter. */
    @Test
    fun `a replica is admitted while reads come faster than heartbeats`() {
        repeat(400) {
            group.run(50)
            group.leader?.let { group.read(it.name) }
        }
        assertEquals(3, group.voters.size)
    }

    /** Fails if the leader never resends lost records to a replica that still answers heartbeats. */
    @Test
    fun `records that were lost on the way to a new replica are sent again`() {
        group.recordMessages = true
        assertTrue(group.run(20_000) { firstAppendWithRecords() != null })
        val recipient = group.replicas.keys.single { group.member(it).identity == firstAppendWithRecords()!!.recipient }
        val lost = setOf(group.leader!!.name to recipient)
        group.cutLinks += lost
        group.run(25)
        group.cutLinks -= lost
        awaitHealthy()
    }

    /** Fails if an acknowledged record is lost with two of five disks while all other replicas lose power. */
    @Test
    fun `an acknowledged record survives two lost disks and a loss of power everywhere else`() {
        for (seed in 1L..40L) {
            val six = SimulatedGroup(seed, listOf("a"), listOf("b", "c", "d", "e", "f"), adjustSettings = ::fiveVoters)
            assertTrue(six.run(60_000) { six.voters.size == 5 && six.isHealthy() }, "seed $seed: no group of five")
            val ticket = six.propose(six.leader!!.name)
            assertTrue(six.run(5_000) { ticket in six.checker.committedTickets }, "seed $seed: not acknowledged")
            val committed = six.checker.committed.size
            val followers = six.voters.map { it.name }.filter { it != six.leader!!.name }
            val wiped = listOf(six.leader!!.name, followers[six.random.nextInt(followers.size)])
            six.replicas.keys.forEach { if (it in wiped) six.loseDisk(it) else six.crash(it) }
            six.run(500)
            six.replicas.keys.forEach(six::start)
            assertTrue(six.run(60_000) { six.voters.size == 5 && six.isHealthy() }, "seed $seed: no recovery")
            val later = six.propose(six.leader!!.name)
            assertTrue(six.run(5_000) { later in six.checker.committedTickets }, "seed $seed: no progress")
            assertTrue(six.checker.committed.size > committed, "seed $seed: committed records are gone")
            val applications = six.voters.map { six.replicas.getValue(it.name).application }
            assertTrue(applications.all { "$ticket" in it }, "seed $seed: the acknowledged record is gone")
        }
    }

    private fun fiveVoters(settings: ReplicaSettings) = settings.copy(targetVoters = 5, lostVoterTimeout = 3_000)

    private fun firstAppendWithRecords() =
        group.sentMessages.firstOrNull { (it.message as? ReplicaMessage.Append)?.records?.isNotEmpty() == true }

    @Test
    fun `without a target size unknown replicas are not admitted`() {
        val groupWithoutTarget = SimulatedGroup(seed = 5, names = listOf("a"), spare = listOf("b"))
        groupWithoutTarget.run(20_000)
        assertEquals(listOf("a"), groupWithoutTarget.voters.map { it.name })
    }

    private fun awaitHealthy() = assertTrue(group.run(30_000) { group.voters.size == 3 && group.isHealthy() })
}
