package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.control.ControlHistory
import hawthorncrank.control.OrderStatus
import hawthorncrank.control.PlanStatus
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EngineOrder
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.Organisation
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class ControlGroupTest {
    private val group = VirtualGroup(3)
    private val first = ControlHistory.initial

    @Test
    fun `a single replica accepts a configuration and confirms it to its entry`() {
        val single = VirtualGroup(1)
        val name = single.leader()
        single.entry(name, 1, hello(0))
        assertIs<OperatorAnswer.Accepted>(single.execute(name, proposal(0, "a", first)))
        val update = single.sent(name, 1).filterIsInstance<ControlToEntry.ConfigurationUpdate>().single()
        assertEquals(1L to true, update.version to update.confirmed)
        assertEquals(first, update.configuration)
    }

    @Test
    fun `of two proposals on one base one is accepted, through any replica, and a resend gets the first answer`() {
        propose(first)
        val follower = group.follower()
        val accepted = group.execute(follower, proposal(1, "x", tier(first, 2)))
        assertEquals(2, assertIs<OperatorAnswer.Accepted>(accepted).version)
        val conflict =
            assertIs<OperatorAnswer.Conflict>(group.execute(group.leader(), proposal(1, "y", tier(first, 3))))
        assertEquals(2L to "operator", conflict.currentVersion to conflict.changedBy)
        assertEquals(accepted, group.execute(group.leader(), proposal(1, "x", tier(first, 2))))
        assertEquals(listOf(2L, 2L, 2L), group.states().map { it.control.version })
    }

    @Test
    fun `a change reaches an entry within 7 s, unconfirmed at once and then confirmed`() {
        propose(first)
        val follower = group.follower()
        group.entry(follower, 1, hello(0))
        group.run(1_000)
        group.execute(group.leader(), proposal(1, "x", tier(first, 2)))
        group.run(2_000)
        val changes = group.sent(follower, 1).filterIsInstance<ControlToEntry.ConfigurationChange>()
        assertEquals(listOf(false, true), changes.map { it.confirmed })
        assertEquals(tier(first, 2), changes.last().delta.applyTo(first))
    }

    @Test
    fun `an isolated replica confirms nothing, grants no claims and closes the links of entries`() {
        propose(first)
        val isolated = group.leader()
        group.cut(isolated)
        group.run(5_000)
        group.entry(isolated, 1, hello(0))
        group.entry(isolated, 1, claim("k", "attempt"))
        group.run(6_000)
        assertContains(group.closedLinks, 1, "an isolated replica keeps its entries")
        val sent = group.sent(isolated, 1)
        assertTrue(sent.none { it is ControlToEntry.ConfigurationUpdate })
        assertEquals(ClaimDecision.Unavailable, sent.filterIsInstance<ControlToEntry.ClaimAnswer>().single().decision)
        assertIs<OperatorAnswer.Refused>(group.execute(isolated, OperatorCommand.ShowConfiguration))
        assertContains(
            assertIs<OperatorAnswer.Report>(group.execute(isolated, OperatorCommand.Status)).lines[0],
            "leader unknown",
        )
    }

    /**
     * If entries stayed linked to a cut-off replica for too long, their confirmation would expire and they would refuse
     * all requests. A confirmation is valid for 3.6 s and renewed every 0.5 s.
     */
    @Test
    fun `with the platform's election timeout entries are released before their confirmation expires`() {
        val timeouts = ReplicaSettings(emptyList(), electionTimeoutMinimum = 700, electionTimeoutMaximum = 1_400)
        listOf(VirtualGroup::leader, VirtualGroup::follower).forEach { choose ->
            (0L..900L step 100).forEach { offset ->
                val group = VirtualGroup(3, timeouts = timeouts.copy(heartbeatInterval = 200))
                val cutOff = choose(group)
                group.entry(cutOff, 1, EntryToControl.EntryHello("entry-1", "zone", 0))
                group.run(5_000 + offset)
                group.cut(cutOff)
                group.run(3_600 - 500)
                assertContains(group.closedLinks, 1, "$cutOff, cut off at $offset ms, keeps its entries")
            }
        }
    }

    /** Otherwise entries would wait forever at a replica that was never admitted to the group. */
    @Test
    fun `a replica outside the group releases its entries`() {
        val group = VirtualGroup(2, initialMembers = listOf("control-1"))
        group.entry("control-2", 1, EntryToControl.EntryHello("entry-1", "zone", 0))
        group.run(10_000)
        assertContains(group.closedLinks, 1)
    }

    @Test
    fun `a claim is granted once across replicas and its outcome answers resends`() {
        propose(first)
        val (leader, follower) = group.leader() to group.follower()
        group.entry(leader, 1, hello(1))
        group.entry(follower, 2, hello(1))
        group.entry(leader, 1, claim("k", "one"))
        group.entry(follower, 2, claim("k", "two"))
        group.run(1_000)
        val granted = assertIs<ClaimDecision.Granted>(decision(leader, 1, "one"))
        assertEquals(ClaimDecision.HeldByOther("entry-1", granted.claimNumber), decision(follower, 2, "two"))
        val outcome = ControlHistory.answered("booked")
        group.entry(leader, 1, EntryToControl.OutcomeRecord(key("k"), granted.claimNumber, outcome))
        group.run(1_000)
        val recorded = ControlToEntry.OutcomeRecorded(key("k"), granted.claimNumber, accepted = true)
        assertContains(group.sent(leader, 1), recorded)
        group.entry(follower, 2, claim("k", "three"))
        group.run(1_000)
        assertEquals(ClaimDecision.Finished(outcome), decision(follower, 2, "three"))
    }

    @Test
    fun `claims of a lost entry become unknown, and an operator resolves them`() {
        propose(first)
        val (leader, follower) = group.leader() to group.follower()
        group.entry(leader, 1, hello(1))
        group.entry(follower, 2, hello(1))
        group.entry(leader, 1, claim("k", "one"))
        group.run(1_000)
        val resolve = OperatorCommand.ResolveClaim(key("k"), ran = false, commandIdentifier = "r1")
        assertIs<OperatorAnswer.Refused>(group.execute(leader, resolve))
        group.deliver(leader, ControlEvent.LinkClosed(1))
        group.run(12_000)
        group.entry(follower, 2, claim("k", "two"))
        group.run(1_000)
        assertIs<ClaimDecision.OutcomeUnknown>(decision(follower, 2, "two"))
        assertIs<OperatorAnswer.Accepted>(group.execute(leader, resolve.copy(commandIdentifier = "r2")))
        group.entry(follower, 2, claim("k", "three"))
        group.entry(leader, 3, EntryToControl.OutcomeRecord(key("k"), 1, CallOutcome.Unknown), entry = "entry-1")
        group.run(1_000)
        assertIs<ClaimDecision.Granted>(decision(follower, 2, "three"))
        assertContains(group.sent(leader, 3), ControlToEntry.OutcomeRecorded(key("k"), 1, accepted = false))
    }

    @Test
    fun `a command survives the loss of the leader and takes effect once`() {
        propose(first)
        val (leader, follower) = group.leader() to group.follower()
        group.cut(leader)
        val accepted = group.execute(follower, proposal(1, "x", tier(first, 2)).copy(commandIdentifier = "x"))
        val again = accepted?.takeIf { it is OperatorAnswer.Accepted } ?: retried(follower)
        assertEquals(2, assertIs<OperatorAnswer.Accepted>(again).version)
        group.heal()
        group.run(5_000)
        assertEquals(listOf(2L, 2L, 2L), group.states().map { it.control.version })
        assertEquals(
            1,
            group
                .states()
                .map { it.control }
                .distinct()
                .size,
        )
    }

    @Test
    fun `a timed plan is reverted by a new leader`() {
        propose(first)
        val plan = OperatorCommand.PlanIntent("protect slow for 1 min")
        val report = assertIs<OperatorAnswer.Report>(group.execute(group.follower(), plan))
        assertContains(report.lines.last(), "confirm 1")
        assertIs<OperatorAnswer.Accepted>(group.execute(group.follower(), OperatorCommand.ConfirmPlan(1, "c")))
        group.cut(group.leader())
        group.run(70_000)
        val control = group.state(group.leader()).control
        assertEquals(PlanStatus.RETURNED, control.plans.getValue(1).status)
        assertEquals(first, control.configuration)
        assertEquals(3, control.version)
    }

    @Test
    fun `a new leader issues an order again after a pause, with a higher fencing number`() {
        propose(first)
        val command = OperatorCommand.OrderEngine("engine1", EngineOrder.LoadModel("m"), "o")
        assertIs<OperatorAnswer.Accepted>(group.execute(group.leader(), command))
        group.run(4_000)
        val before = group.postedOrders.single()
        val old = group.leader()
        val term = before.fencing.term
        assertTrue(assertNotNull(orderExpiry(group.state(old), term, group.now, wallTime = 0)) in 200..1_000)
        group.cut(old)
        group.run(1_000)
        assertEquals(null, orderExpiry(group.state(old), term, group.now, wallTime = 0), "an order after lost contact")
        group.run(3_000)
        assertEquals(1, group.postedOrders.size, "an order within the pause of 3 s after the election")
        group.run(6_000)
        val after = group.postedOrders.last()
        assertTrue(after.fencing > before.fencing)
        group.deliver(group.leader(), ControlEvent.OrderAnswered("engine1", after.fencing, OrderAnswer.CarriedOut))
        group.run(1_000)
        assertEquals(
            OrderStatus.DONE,
            group
                .state(group.leader())
                .control.orders
                .getValue("engine1")
                .status,
        )
    }

    @Test
    fun `a first configuration of 12,000 organisations is accepted in parts`() {
        val hash = "pbkdf2\$10000\$" + "A".repeat(22) + "==\$" + "A".repeat(43) + "="
        val organisations =
            List(12_000) { Organisation("organisation-%05d".format(it), "south", listOf("quick"), listOf(hash)) }
        val large = first.copy(organisations = organisations)
        assertEquals(
            1,
            assertIs<OperatorAnswer.Accepted>(group.execute(group.follower(), proposal(0, "a", large))).version,
        )
        group.run(1_000)
        group.states().forEach { assertEquals(12_000, it.control.configuration.organisations.size) }
    }

    @Test
    fun `drains and convictions are sent to linked entries`() {
        propose(first)
        val follower = group.follower()
        group.entry(follower, 1, hello(1))
        group.execute(group.leader(), OperatorCommand.Drain("engine1", true, "d"))
        group.entry(follower, 1, EntryToControl.SuspectReport("digest", 2, convicted = true))
        group.run(1_000)
        assertEquals(
            listOf("engine1"),
            group
                .sent(follower, 1)
                .filterIsInstance<ControlToEntry.DrainUpdate>()
                .last()
                .upstreams,
        )
        val update = group.sent(follower, 1).filterIsInstance<ControlToEntry.ConvictionUpdate>().last()
        assertEquals(listOf("digest"), update.convictions.map { it.contentDigest })
        assertTrue(update.convictions.single().expiresIn <= 3_600_000)
    }

    @Test
    fun `the status shows which entry lags behind`() {
        propose(first)
        val leader = group.leader()
        group.entry(leader, 1, hello(1))
        group.execute(leader, proposal(1, "x", tier(first, 2)))
        group.entry(leader, 1, EntryToControl.EntryStatus("entry-1", "a", 1, 0, 0, ready = true))
        group.run(3_000)
        val lines = assertIs<OperatorAnswer.Report>(group.execute(leader, OperatorCommand.Status)).lines
        assertTrue(
            lines.any {
                it.contains("entry-1") && it.contains("BEHIND") && it.contains("version 1 of 2")
            },
            lines.joinToString("\n"),
        )
    }

    private fun retried(follower: String): OperatorAnswer? {
        group.run(3_000)
        return group.execute(follower, proposal(1, "x", tier(first, 2)))
    }

    private fun propose(configuration: Configuration) {
        val answer = group.execute(group.leader(), proposal(0, "initial", configuration))
        assertEquals(1, assertIs<OperatorAnswer.Accepted>(answer).version)
        group.run(1_000)
    }

    private fun proposal(
        base: Long,
        identifier: String,
        configuration: Configuration,
    ) = OperatorCommand.ProposeConfiguration(base, identifier, "reason", configuration)

    private fun tier(
        configuration: Configuration,
        tier: Int,
    ) = configuration.copy(classes = configuration.classes.map { if (it.name == "slow") it.copy(tier = tier) else it })

    private fun hello(version: Long) = EntryToControl.EntryHello("ignored", "zone", version)

    private fun claim(
        name: String,
        attempt: String,
    ) = EntryToControl.ClaimRequest(key(name), "digest", attempt, "ignored")

    private fun key(name: String) = ClaimKey("organisation", name)

    private fun decision(
        replica: String,
        link: Long,
        attempt: String,
    ): ClaimDecision =
        assertNotNull(
            group.sent(replica, link).filterIsInstance<ControlToEntry.ClaimAnswer>().lastOrNull {
                it.attemptIdentifier ==
                    attempt
            },
        ).decision
}
