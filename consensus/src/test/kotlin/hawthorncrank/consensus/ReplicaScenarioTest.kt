package hawthorncrank.consensus

import hawthorncrank.consensus.internal.ConsensusEvent
import hawthorncrank.consensus.internal.Safeguards
import hawthorncrank.consensus.internal.reduceReplica
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.ReplicaMessage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class ReplicaScenarioTest {
    /** Fails if the same replicas can form a second group. */
    @Test
    fun `a replica of a group refuses to form another`() {
        val group = healthyGroup()
        group.deliver("b", ReplicaEvent.FormGroup(-1, listOf(group.member("b"))))
        assertEquals(TicketAnswer.Refused(ReplicaRefusal.ALREADY_FORMED), group.administrativeAnswers[-1])
    }

    /** Fails if a replica takes part in the protocol before a group has admitted it. */
    @Test
    fun `an unadmitted replica neither votes nor acknowledges`() {
        val group = healthyGroup(spare = listOf("d"))
        val leader = group.leader!!.name
        val recipient = group.member("d").identity
        listOf(
            ReplicaMessage.VoteRequest(preliminary = false, 100, 100),
            ReplicaMessage.Append(0, 0, emptyList(), 0, 1),
        ).forEach { message ->
            listOf(recipient, "lost").forEach { identity ->
                val foreign = ReplicaEnvelope(group.state("a").group!!, group.member(leader), identity, 9, message)
                val admitted = identity == recipient && message is ReplicaMessage.Append
                val settings = ReplicaSettings(emptyList())
                val event = ReplicaEvent.EnvelopeReceived(foreign)
                val transition = reduceReplica(settings, Safeguards(), group.state("d"), event, group.now)
                assertTrue(transition.effects.none { it is ReplicaEffect.SendEnvelope }, "$message")
                assertEquals(admitted, transition.state.term == 9L)
            }
        }
        group.run(5_000)
        assertEquals(ReplicaRole.UNADMITTED, group.state("d").role)
        assertEquals(3, group.voters.size)
    }

    /** Fails if an isolated replica forces an election when it reconnects. */
    @Test
    fun `an isolated follower does not raise its term`() {
        val group = healthyGroup()
        val follower = group.followers().first()
        val term = group.state(follower).term
        group.isolate(follower)
        group.run(60_000)
        assertEquals(term, group.state(follower).term)
        group.cutLinks.clear()
        group.awaitHealthy()
        assertEquals(term, group.leader?.state?.term)
    }

    /** Fails if an isolated leader continues to confirm reads. */
    @Test
    fun `an isolated leader steps down after one election timeout and confirms no read`() {
        val group = healthyGroup()
        val isolated = group.leader!!.name
        val reads = group.checker.confirmedReads
        group.isolate(isolated)
        group.read(isolated)
        group.run(1_700)
        assertNotEquals(ReplicaRole.LEADER, group.state(isolated).role)
        group.read(isolated)
        group.run(10_000)
        assertEquals(reads, group.checker.confirmedReads)
        assertTrue(ConsensusEvent.MAJORITY_LOST in group.events)
    }

    /** Fails if committed records are lost when a second disk fails right after the first replica was replaced. */
    @Test
    fun `a second loss right after a replacement loses nothing`() {
        val group = healthyGroup()
        val (first, second) =
            group.replicas.keys
                .sortedBy { it == group.leader?.name }
                .drop(1)
        repeat(50) { group.propose("a") }
        group.run(1_000)
        group.loseDisk(first)
        group.start(first)
        val identity = group.member(first).identity
        val replaced = { group.voters.any { it.identity == identity } }
        assertTrue(group.run(30_000, until = replaced))
        group.loseDisk(second)
        assertTrue(group.run(30_000, until = { group.leader != null && group.leader?.name != second }))
        assertTrue(group.commits(group.leader!!.name, 10_000))
        group.start(second)
        group.awaitHealthy()
        assertEquals(
            51,
            group.replicas
                .getValue(second)
                .application.size,
        )
        assertEquals(2, group.checker.membership.retired.size)
    }

    /** Fails if the lost identity stops counting towards majorities before its replacement is committed. */
    @Test
    fun `without a majority a lost identity is not replaced`() {
        val group = healthyGroup()
        val (first, second) = group.followers()
        group.crash(second)
        group.loseDisk(first)
        group.start(first)
        group.run(30_000)
        assertTrue(
            group.checker.membership.learners
                .isEmpty(),
        )
        assertEquals(null, group.leader)
        group.start(second)
        group.awaitHealthy()
    }

    /** Fails if a replaced replica can still take part in the protocol when its old disk reappears. */
    @Test
    fun `a retired identity is ignored`() {
        val group = healthyGroup()
        val name = group.followers().first()
        val old = group.member(name)
        group.loseDisk(name)
        group.start(name)
        group.awaitHealthy()
        val leader = group.leader!!
        val message = ReplicaMessage.VoteRequest(preliminary = false, 10_000, 10_000)
        val envelope = ReplicaEnvelope(leader.state!!.group!!, old, leader.state!!.self.identity, 10_000, message)
        group.run(10)
        val before = leader.state
        group.deliver(leader.name, ReplicaEvent.EnvelopeReceived(envelope))
        assertEquals(before, leader.state)
    }

    /** Fails if an added member skips the learner stage, or if the leader cannot be removed. */
    @Test
    fun `members are admitted one at a time and the leader can be removed`() {
        val group = healthyGroup(spare = listOf("d", "e"))
        val answers = group.administrativeAnswers
        val leader = group.leader!!.name
        group.deliver(leader, ReplicaEvent.AdmitMember(-1, group.member("d")))
        group.deliver(leader, ReplicaEvent.AdmitMember(-2, group.member("e")))
        assertEquals(TicketAnswer.Refused(ReplicaRefusal.CHANGE_IN_PROGRESS), answers[-2])
        assertTrue(group.run(20_000, until = { group.voters.size == 4 }))
        assertIs<TicketAnswer.Committed>(answers[-1])
        group.run(1_000)
        group.deliver(leader, ReplicaEvent.RemoveMember(-3, group.member(leader).identity))
        assertTrue(group.run(20_000, until = { group.leader != null && group.leader?.name != leader }))
        assertIs<TicketAnswer.Committed>(answers[-3])
        assertFalse(group.voters.any { it.name == leader })
        assertTrue(group.commits(group.leader!!.name, 5_000))
    }

    /** Fails if a frame exceeds 1 MiB, or if a follower that is far behind cannot catch up. */
    @Test
    fun `a follower that is far behind receives a large snapshot in chunks below the frame limit`() {
        val group = healthyGroup()
        val lagging = group.followers().first()
        group.crash(lagging)
        val text = "x".repeat(1_000)
        repeat(5_600) {
            group.propose(group.leader!!.name, text)
            group.run(2)
        }
        group.recordMessages = true
        group.start(lagging)
        group.awaitHealthy()
        val chunks = group.sentMessages.map { it.message }.filterIsInstance<ReplicaMessage.InstallSnapshot>()
        assertTrue(chunks.size > 5, "${chunks.size} chunks")
        assertTrue(chunks.all { it.bytes.size <= 256 * 1_024 })
        assertTrue(ConsensusEvent.SNAPSHOT_INSTALLED in group.events)
    }

    /** Fails if a large state is written again every 1,000 records. */
    @Test
    fun `snapshots of a growing state become less frequent`() {
        val group = healthyGroup()
        val text = "x".repeat(1_000)
        repeat(4_500) {
            group.propose(group.leader!!.name, text)
            group.run(2)
        }
        // 1,000 of these records make a state of 1 MB, as large as 4,444 records of the expected size.
        assertEquals(group.replicas.size, group.events.count { it == ConsensusEvent.SNAPSHOT_SAVED })
    }

    /** Fails if a duplicated message commits its command twice. */
    @Test
    fun `a repeated forwarded command is committed once`() {
        val group = healthyGroup()
        val follower = group.followers().first()
        group.duplicationPercent = 100
        repeat(20) { group.propose(follower) }
        group.run(2_000)
        assertEquals(
            20,
            group.replicas
                .getValue(follower)
                .application.size,
        )
    }

    /** Fails if pending requests are never answered when the process stops. */
    @Test
    fun `stopping answers every ticket and refuses new ones`() {
        val group = healthyGroup()
        val leader = group.leader!!.name
        val pending = group.propose(leader)
        group.deliver(leader, ReplicaEvent.Stop)
        val later = group.propose(leader)
        assertEquals(emptySet(), group.checker.openTickets)
        assertFalse(pending in group.checker.committedTickets || later in group.checker.committedTickets)
    }

    @Test
    fun `members without this replica or with repeated names are refused`() {
        val first = startReplica(ReplicaSettings(emptyList()), "a", "a", RecoveredReplica("a-1"), 1, 0).state
        val self = ReplicaMember("a", "a-1", "a")
        listOf(emptyList(), listOf(self.copy(identity = "other")), listOf(self, self.copy(identity = "b-1"))).forEach {
            val transition =
                replicaReducer(
                    ReplicaSettings(emptyList()),
                ).reduce(first, ReplicaEvent.FormGroup(1, it), 0)
            val answer = ReplicaEffect.AnswerTicket(1, TicketAnswer.Refused(ReplicaRefusal.INVALID_MEMBERS))
            assertEquals(listOf<ReplicaEffect>(answer), transition.effects.toList())
        }
    }
}
