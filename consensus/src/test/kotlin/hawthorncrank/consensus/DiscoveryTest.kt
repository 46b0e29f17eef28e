package hawthorncrank.consensus

import hawthorncrank.protocol.ReplicaMessage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A group that grows by itself: one replica forms it, and others come whom nobody has named. */
class DiscoveryTest {
    private val group =
        SimulatedGroup(
            seed = 23,
            names = listOf("a"),
            spare = listOf("b", "c", "d"),
            change = { it.copy(targetVoters = 3, lostMilliseconds = 3_000) },
        )

    @Test
    fun `unknown replicas become voters up to the target and no further`() {
        settle()
        assertEquals(3, group.voters.size)
        group.run(20_000)
        assertEquals(3, group.voters.size)
    }

    /** Guards against a place that a replica gone for good keeps, so that the next loss costs the majority. */
    @Test
    fun `a voter that is gone is replaced by a replica at another address`() {
        settle()
        val outside = group.replicas.keys.single { name -> group.voters.none { it.name == name } }
        val gone = group.voters.first { it.name != group.leader!!.name }
        group.crash(gone.name)
        assertTrue(group.run(20_000) { group.voters.any { it.name == outside } }, "voters: ${group.voters}")
        assertEquals(3, group.voters.size)
        assertTrue(group.voters.none { it.identity == gone.identity })
    }

    /** Guards against a short restart that costs a replica its place and its disk's content. */
    @Test
    fun `a voter that restarts within the time for restarts keeps its place`() {
        settle()
        val before = group.voters.toSet()
        val follower = group.voters.first { it.name != group.leader!!.name }.name
        group.crash(follower)
        group.run(2_000)
        group.start(follower)
        group.run(10_000)
        assertEquals(before, group.voters.toSet())
    }

    /** Guards against reads that put off what the leader does with its heartbeats, such as admitting a voter. */
    @Test
    fun `a replica is admitted while reads come faster than heartbeats`() {
        repeat(400) {
            group.run(50)
            group.leader?.let { group.read(it.name) }
        }
        assertEquals(3, group.voters.size)
    }

    /** Guards against a replica that waits for ever for records that were lost while heartbeats are answered. */
    @Test
    fun `records that were lost on their way to a new replica are sent again`() {
        group.recordMessages = true
        assertTrue(group.run(20_000) { firstWithRecords() != null })
        val recipient = group.replicas.keys.single { group.member(it).identity == firstWithRecords()!!.recipient }
        val lost = setOf(group.leader!!.name to recipient)
        group.cuts += lost
        group.run(25)
        group.cuts -= lost
        settle()
    }

    private fun firstWithRecords() =
        group.sentMessages.firstOrNull { (it.message as? ReplicaMessage.Append)?.records?.isNotEmpty() == true }

    @Test
    fun `without a target unknown replicas stay outside`() {
        val closed = SimulatedGroup(seed = 5, names = listOf("a"), spare = listOf("b"))
        closed.run(20_000)
        assertEquals(listOf("a"), closed.voters.map { it.name })
    }

    private fun settle() = assertTrue(group.run(30_000) { group.voters.size == 3 && group.isHealthy() })
}
