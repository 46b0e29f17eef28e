package hawthorncrank.control

import com.github.michaelbull.result.get
import hawthorncrank.common.KeyHash
import hawthorncrank.intents.IntentContext
import hawthorncrank.intents.planFor
import hawthorncrank.intents.validateConfiguration
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.EngineOrder
import hawthorncrank.protocol.NamedChanges
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.ServiceRoute
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.protocol.WeightStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class ControlStateTest {
    private var state = ControlState(version = 1, configuration = ControlHistory.initial)
    private var index = 0L
    private var clock = 0L

    @Test
    fun `a plan applies on its base version only, and only once`() {
        val plan = plan("now: slow first")
        assertIs<OperatorAnswer.Accepted>(execute(ControlOperation.ConfirmPlan(plan)))
        assertEquals(2, state.version)
        assertEquals(mapOf("quick" to 2, "slow" to 1), state.configuration.classes.associate { it.name to it.tier })
        assertIs<OperatorAnswer.Refused>(execute(ControlOperation.ConfirmPlan(plan)))
        val stale = plan("slow quick down")
        execute(tierChange("quick", 4))
        assertIs<OperatorAnswer.Conflict>(execute(ControlOperation.ConfirmPlan(stale)))
        assertEquals(3, state.version)
    }

    @Test
    fun `a timed plan is reverted once and keeps what others changed`() {
        val plan = plan("protect slow for 2 h")
        execute(ControlOperation.ConfirmPlan(plan), wallTime = 1_000)
        assertEquals(1_000 + 2 * HOUR, state.plans.getValue(plan).returnsAtWallTime)
        execute(tierChange("quick", 5))
        apply(ControlOperation.ReturnPlan(plan))
        val returned = state
        apply(ControlOperation.ReturnPlan(plan))
        assertEquals(returned, state.copy(clock = returned.clock))
        assertEquals(mapOf("quick" to 5, "slow" to 3), state.configuration.classes.associate { it.name to it.tier })
        assertEquals(PlanStatus.RETURNED, state.plans.getValue(plan).status)
        assertTrue(
            state.history.values
                .last()
                .why
                .contains("protect slow for 2 h"),
        )
    }

    @Test
    fun `undoing a timed plan cancels its automatic revert`() {
        val plan = plan("protect slow for 2 h")
        execute(ControlOperation.ConfirmPlan(plan))
        execute(ControlOperation.ConfirmPlan(plan("undo $plan")))
        assertEquals(PlanStatus.UNDONE, state.plans.getValue(plan).status)
        val version = state.version
        apply(ControlOperation.ReturnPlan(plan))
        assertEquals(version, state.version)
    }

    @Test
    fun `a large change takes effect with its last part or not at all`() {
        val organisations =
            List(3) { part -> List(2) { Organisation("new-$part-$it", "south", listOf("quick"), emptyList()) } }
        val parts = organisations.map { ConfigurationDelta(1, 2, organisations = NamedChanges(it)) }
        val last = ControlOperation.ChangeConfiguration("grow", parts.last(), stagedParts = 2)
        apply(ControlOperation.StageChange("large", 0, parts[0]))
        assertIs<OperatorAnswer.Refused>(execute(last, "large"))
        assertEquals(1, state.version)
        apply(ControlOperation.StageChange("large", 1, parts[1]))
        assertIs<OperatorAnswer.Accepted>(execute(last, "large"))
        assertEquals(7, state.configuration.organisations.size)
        assertEquals(2, state.version)
        assertEquals(emptyMap(), state.stagedChanges.toMap())
        val delta = assertNotNull(state.lastDelta)
        assertEquals(state.configuration, delta.applyTo(ControlHistory.initial))
    }

    @Test
    fun `convictions expire after an hour and are lifted by operators`() {
        apply(ControlOperation.Convict("digest", 2))
        apply(ControlOperation.Convict("digest", 2))
        assertEquals(1, state.convictionRevision)
        clock += HOUR
        apply(ControlOperation.AdvanceClock)
        assertEquals(emptyMap(), state.convictions.toMap())
        apply(ControlOperation.Convict("digest", 2))
        assertIs<OperatorAnswer.Accepted>(execute(ControlOperation.LiftConviction("digest")))
        assertEquals(4, state.convictionRevision)
        apply(ControlOperation.Convict("digest", 2))
        assertTrue(state.convictions.getValue("digest").lifted, "a repeated report renews a lifted conviction")
        apply(ControlOperation.Convict("digest", 3))
        assertTrue(!state.convictions.getValue("digest").lifted)
    }

    @Test
    fun `a drain ends when its upstream is removed`() {
        execute(ControlOperation.Drain("engine1", true))
        assertIs<OperatorAnswer.Refused>(execute(ControlOperation.Drain("engine9", true)))
        val removal = ConfigurationDelta(1, 2, upstreams = NamedChanges(removed = listOf("engine1")))
        execute(ControlOperation.ChangeConfiguration("remove", removal))
        assertEquals(emptySet(), state.drains.keys.toSet())
    }

    @Test
    fun `model loads wait for a weight store token and fencing numbers rise`() {
        val load = EngineOrder.LoadModel("m")
        execute(ControlOperation.OrderEngine("engine1", load))
        execute(ControlOperation.OrderEngine("engine2", load))
        assertIs<OperatorAnswer.Refused>(execute(ControlOperation.OrderEngine("engine1", load)))
        apply(ControlOperation.IssueOrder("engine1"))
        val first = assertNotNull(state.orders.getValue("engine1").fencing)
        apply(ControlOperation.IssueOrder("engine2"))
        assertEquals(OrderStatus.WAITING, state.orders.getValue("engine2").status)
        clock += 60_000 / state.configuration.weightStore.loadsPerMinute
        apply(ControlOperation.IssueOrder("engine1"))
        apply(ControlOperation.EndOrder("engine1", first, succeeded = true, detail = "late"))
        assertEquals(OrderStatus.ISSUED, state.orders.getValue("engine1").status)
        assertTrue(assertNotNull(state.orders.getValue("engine1").fencing) > first)
        apply(ControlOperation.IssueOrder("engine2"))
        assertEquals(OrderStatus.ISSUED, state.orders.getValue("engine2").status)
    }

    @Test
    fun `answers are remembered for 10,000 commands`() {
        val change = tierChange("quick", 2)
        val first = execute(change, "first")
        repeat(REMEMBERED_COMMANDS - 1) { execute(ControlOperation.Drain("engine1", it % 2 == 0)) }
        assertEquals(first, execute(change, "first"))
        execute(ControlOperation.Drain("engine1", true))
        assertIs<OperatorAnswer.Conflict>(execute(change, "first"))
        assertEquals(REMEMBERED_COMMANDS, state.answers.size)
    }

    @Test
    fun `an invalid configuration is refused with field and remedy`() {
        val quick = TrafficClass("quick", tier = 1)
        val organisation = Organisation("o", "south", listOf("quick"), listOf(KeyHash.hash("key", iterations = 10)))
        val engine = Upstream("e", UpstreamKind.ENGINE, "10.0.0.1:8000", "a", "south", models = listOf("m"))
        val valid = Configuration(listOf(quick), listOf(organisation), listOf(engine))
        assertEquals(emptyList(), validateConfiguration(valid))
        val cases =
            mapOf(
                valid.copy(classes = listOf(quick, quick)) to "classes",
                valid.copy(classes = listOf(quick.copy(tier = 6))) to "classes.quick.tier",
                valid.copy(classes = listOf(quick, quick.copy(name = "slow", floorSlots = 0))) to
                    "classes.slow.floor_slots",
                valid.copy(classes = emptyList(), organisations = emptyList()) to "classes",
                valid.copy(organisations = emptyList()) to "organisations",
                valid.copy(organisations = listOf(organisation.copy(classes = listOf("fast")))) to
                    "organisations.o.classes",
                valid.copy(organisations = listOf(organisation.copy(keyHashes = listOf("x")))) to
                    "organisations.o.api_key_hashes",
                valid.copy(organisations = listOf(organisation.copy(name = ""))) to "organisations",
                valid.copy(upstreams = listOf(engine.copy(address = "engine:8000"))) to "upstreams.e.address",
                valid.copy(upstreams = listOf(engine.copy(address = "10.0.0.256:8000"))) to "upstreams.e.address",
                valid.copy(upstreams = listOf(engine.copy(kind = UpstreamKind.SERVICE, models = emptyList()))) to
                    "upstreams.e.service",
                valid.copy(services = listOf(ServiceRoute("s", "bookings", "quick"))) to "services.s.path_prefix",
                valid.copy(services = listOf(ServiceRoute("s", "/bookings", "fast"))) to "services.s.class",
                valid.copy(weightStore = WeightStore(0)) to "weight_store.loads_per_minute",
            )
        cases.forEach { (configuration, field) ->
            val failure = assertNotNull(validateConfiguration(configuration).firstOrNull(), field)
            assertEquals(field, failure.field)
            assertTrue(failure.message.startsWith(field) && failure.remedy.isNotBlank())
        }
    }

    @Test
    fun `commands of a fleet of the planned size fit into the control traffic limit of a node`() {
        val hash = KeyHash.hash("key", iterations = 10)
        val organisations =
            List(12_000) { Organisation("organisation-%05d".format(it), "south", listOf("quick"), listOf(hash)) }
        val sizes = measureStateSizes(ControlHistory.initial.copy(organisations = organisations), answerBytes = 512)
        println(sizes)
        assertTrue(sizes.changeCommand <= 6_000, "a change takes more than the control traffic of a node in one second")
        assertTrue(sizes.claimCommand <= 6_000 && sizes.outcomeCommand <= 6_000)
    }

    private fun plan(sentence: String): Long {
        val plans = state.plans.filterValues { it.status == PlanStatus.CONFIRMED }.mapValues { it.value.plan }
        val context = IntentContext(state.version, state.configuration, state.drains.keys, plans)
        execute(ControlOperation.RecordPlan(assertNotNull(planFor(sentence, context).get())))
        return state.plans.keys.last()
    }

    private fun tierChange(
        name: String,
        tier: Int,
    ) = ControlOperation.ChangeConfiguration(
        "tier",
        ConfigurationDelta(state.version, state.version + 1, classes = NamedChanges(listOf(TrafficClass(name, tier)))),
    )

    private fun execute(
        operation: ControlOperation,
        identifier: String = "command-$index",
        wallTime: Long = 0,
    ): OperatorAnswer = assertIs<CommandResult.Operator>(apply(operation, identifier, wallTime)).answer

    private fun apply(
        operation: ControlOperation,
        identifier: String = "command-$index",
        wallTime: Long = 0,
    ): CommandResult {
        val command = ControlCommand(identifier, "operator", clock, wallTime, operation)
        val applied = applyCommand(state, command, FencingNumber(1, index++))
        state = applied.state
        return applied.result
    }

    private companion object {
        const val HOUR = 3_600_000L
    }
}
