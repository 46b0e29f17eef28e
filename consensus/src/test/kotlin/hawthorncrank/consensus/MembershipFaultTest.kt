package hawthorncrank.consensus

import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMessage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Scripts event sequences that left a replica or a group stuck in generated histories, so that each always runs. */
class MembershipFaultTest {
    @Test
    fun `an uncommitted removal of a replica does not keep others from following it`() {
        val group = healthyGroup("a", "b", "c", "d", "e")
        val former = group.leader!!.name
        val (follower, removed) = group.followers()
        val others = group.followers().drop(2)
        (others + removed).forEach { group.cutLinks += former to it }
        group.cutLinks += follower to former
        group.deliver(former, ReplicaEvent.RemoveMember(-1, group.member(removed).identity))
        group.run(100)
        group.crash(former)
        group.cutLinks.clear()
        group.isolate(follower)
        others.forEach { group.replicas.getValue(it).timerStalledUntil = group.now + 30_000 }
        assertTrue(group.run(20_000, until = { group.leader?.name == removed }))
        group.run(2_000)
        group.cutLinks.clear()
        val followerState = { group.state(follower) }
        assertTrue(
            group.run(20_000, until = {
                followerState().appliedIndex ==
                    group.checker.committed.size
                        .toLong()
            }),
        )
        assertEquals(5, group.voters.size)
        group.start(former)
        group.awaitHealthy()
    }

    @Test
    fun `a voter whose own removal is uncommitted can still be elected`() {
        val group = healthyGroup("a", "b", "c", "d")
        val removed = group.leader!!.name
        group.crash(group.followers().first())
        group.isolate(removed)
        group.deliver(removed, ReplicaEvent.RemoveMember(-1, group.member(removed).identity))
        group.run(4_000)
        assertNotEquals(
            ReplicaRole.LEADER,
            group.state(removed).role,
        )
        group.cutLinks.clear()
        assertTrue(group.run(30_000, until = { group.voters.size == 3 }))
        assertTrue(group.run(30_000, until = { group.leader != null && group.leader?.name != removed }))
    }

    @Test
    fun `a replica whose admission was lost with its leader requests to join again`() {
        val group = healthyGroup("a", "b", "c", "d", "e")
        val former = group.leader!!.name
        val returning = group.followers().first()
        group.loseDisk(returning)
        group.run(1_600)
        group.followers().filter { it != returning }.forEach { group.cutLinks += setOf(former to it, it to former) }
        group.start(returning)
        val admitted = {
            group
                .state(returning)
                .membership.learners
                .isNotEmpty()
        }
        assertTrue(group.run(1_400, until = admitted))
        group.crash(former)
        group.cutLinks.clear()
        assertTrue(group.run(30_000, until = { group.leader != null }))
        assertTrue(
            group.checker.membership.learners
                .isEmpty(),
        )
        group.start(former)
        val identity = group.member(returning).identity
        assertTrue(
            group.run(30_000, until = { group.voters.any { it.identity == identity } }),
        )
        group.awaitHealthy()
    }

    @Test
    fun `a delayed join request from an older identity does not exclude the newer one`() {
        val group = healthyGroup()
        val returning = group.followers().first()
        group.loseDisk(returning)
        val late = ReplicaEnvelope("", group.member(returning), "", 0, ReplicaMessage.JoinRequest)
        group.loseDisk(returning)
        group.start(returning)
        assertTrue(
            group.run(5_000, until = {
                group.checker.membership.learners
                    .isNotEmpty()
            }),
        )
        group.isolate(returning)
        group.run(1_600)
        group.deliver(group.leader!!.name, ReplicaEvent.EnvelopeReceived(late))
        group.run(100)
        assertEquals(
            late.sender,
            group.checker.membership.learners
                .single()
                .member,
        )
        group.cutLinks.clear()
        group.awaitHealthy()
        assertTrue(group.member(returning) in group.voters)
    }
}
