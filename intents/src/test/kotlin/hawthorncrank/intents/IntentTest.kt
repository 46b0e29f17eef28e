package hawthorncrank.intents

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class IntentTest {
    private val configuration =
        Configuration(
            classes =
                listOf(
                    TrafficClass("fault-guess", tier = 3),
                    TrafficClass("walkthroughs", tier = 4),
                    TrafficClass("print orders", tier = 1, floorSlots = 2),
                    TrafficClass("lookups", tier = 2),
                ),
            organisations = listOf(Organisation("tangle-south", "south", listOf("lookups"), emptyList())),
            upstreams =
                listOf(
                    Upstream("e3", UpstreamKind.ENGINE, "127.0.0.1:1", "a", "south", models = listOf("m")),
                    Upstream("engine-7", UpstreamKind.ENGINE, "127.0.0.1:2", "a", "south", models = listOf("m")),
                ),
        )
    private val context = IntentContext(version = 4, configuration = configuration, wallTime = NOON)

    @Test
    fun `a class is raised above all others and the others keep their order`() {
        val plan = planned("festival week: fault guesses first")
        val after =
            plan.change
                .deltaOn(4)
                .applyTo(configuration)
                .classes
                .associate { it.name to it.tier }
        assertEquals(mapOf("fault-guess" to 1, "walkthroughs" to 4, "print orders" to 2, "lookups" to 3), after)
        assertEquals(4, plan.baseVersion)
        assertTrue(plan.costForOthers.any { it.startsWith("print orders ") }, plan.lines().joinToString("\n"))
    }

    @Property(tries = 500)
    fun `raising a class never leaves another class in the same tier`(
        @ForAll @Size(min = 2, max = 9) tiers: List<
            @IntRange(min = 1, max = 5)
            Int,
        >,
    ) {
        val classes = tiers.mapIndexed { number, tier -> TrafficClass("class$number", tier) }
        val raiseContext = IntentContext(1, Configuration(classes = classes))
        val plan = planFor("now: class0 first", raiseContext).get() ?: return assertTrue(tiers.drop(1).none { it == 1 })
        val after =
            plan.change
                .deltaOn(4)
                .applyTo(raiseContext.configuration)
                .classes
        assertEquals(1, after.first().tier)
        assertTrue(after.drop(1).all { it.tier in 2..LOWEST_TIER })
        val pairs = classes.drop(1).zip(after.drop(1))
        val keepsOrder =
            pairs.all { (one, oneAfter) ->
                pairs.all { (other, otherAfter) -> one.tier >= other.tier || oneAfter.tier <= otherAfter.tier }
            }
        assertTrue(keepsOrder)
    }

    @Test
    fun `names match regardless of case, spaces, punctuation and plural`() {
        listOf("Fault Guesses", "fault guess", "FAULT-GUESSES").forEach {
            assertEquals(Intent.SlowClass("fault-guess"), parseIntent("slow $it down", context).get())
        }
        assertEquals(Intent.DrainUpstream("e3"), parseIntent("drain engine E3", context).get())
        assertEquals(Intent.DrainUpstream("engine-7"), parseIntent("drain engine 7", context).get())
        assertEquals(
            Intent.LimitOrganisation("tangle-south", 25),
            parseIntent("limit Tangle South to 25 requests per second", context).get(),
        )
    }

    @Test
    fun `a time of day that has passed at the operator's UTC offset means tomorrow`() {
        fun end(
            time: String,
            offset: Int,
        ) = (
            parseIntent(
                "protect lookups until $time",
                context.copy(offsetMinutes = offset),
            ).get() as Intent.ProtectClass
        ).end
            .wallTime(NOON)
        assertEquals(NOON + 10 * HOUR, end("22:00", 0))
        assertEquals(NOON + 14 * HOUR, end("22:00", -240))
        assertEquals(NOON + 23 * HOUR, end("11:00", 0))
        assertEquals(NOON + 24 * HOUR, end("12:00", 0))
    }

    @Test
    fun `a duration starts when the plan is confirmed`() {
        val plan = planned("protect print orders for 2 h")
        assertEquals(NOON + 5 * HOUR, plan.end?.wallTime(NOON + 3 * HOUR))
        assertEquals(
            4,
            plan.change.classes
                .single()
                .after.floorSlots,
        )
    }

    @Test
    fun `a sentence or name that is not understood is refused and the nearest ones are suggested`() {
        val failure = planFor("protect print orders untl 22:00", context).getError()
        assertIs<IntentFailure.NotUnderstood>(failure)
        assertEquals("protect print orders until 22:00", failure.nearest.first())
        val unknown = planFor("slow walkthrus down", context).getError()
        assertIs<IntentFailure.UnknownName>(unknown)
        assertEquals("walkthroughs", unknown.nearest.first())
    }

    @Test
    fun `a name that matches two classes is refused`() {
        val similarNames = configuration.copy(classes = configuration.classes + TrafficClass("Fault guesses", tier = 2))
        val failure = parseIntent("slow fault guesses down", context.copy(configuration = similarNames)).getError()
        assertEquals(listOf("fault-guess", "Fault guesses"), assertIs<IntentFailure.AmbiguousName>(failure).candidates)
    }

    @Test
    fun `numbers out of range are refused`() {
        listOf(
            "protect lookups until 24:00",
            "protect lookups until 12:60",
            "protect lookups for 8 d",
            "protect lookups for 0 h",
            "limit tangle-south to 0 requests per second",
            "limit tangle-south to 99999999999 requests per second",
        ).forEach { assertIs<IntentFailure.InvalidNumber>(parseIntent(it, context).getError(), it) }
    }

    @Test
    fun `a plan without effect is refused`() {
        assertIs<IntentFailure.NothingToChange>(planFor("now: print orders first", context).getError())
        val draining = context.copy(drains = setOf("e3"))
        assertIs<IntentFailure.NothingToChange>(planFor("drain e3", draining).getError())
    }

    @Test
    fun `undoing a plan keeps values that were changed since`() {
        val plan = planned("festival week: fault guesses first").copy(number = 9)
        val confirmed = plan.change.deltaOn(4).applyTo(configuration)
        val changedSince =
            confirmed.copy(classes = confirmed.classes.map { if (it.name == "lookups") it.copy(tier = 5) else it })
        val undo = planFor("undo plan 9", IntentContext(6, changedSince, confirmedPlans = mapOf(9L to plan))).get()
        assertNotNull(undo)
        val tiers =
            undo.change
                .deltaOn(4)
                .applyTo(changedSince)
                .classes
                .associate { it.name to it.tier }
        assertEquals(mapOf("fault-guess" to 3, "walkthroughs" to 4, "print orders" to 1, "lookups" to 5), tiers)
        assertEquals(9, undo.undoes)
        assertNull(planFor("undo 8", context).get())
    }

    @Test
    fun `the cost of a drain is the number of peers that take over the work`() {
        assertEquals(listOf("1 other upstreams take over the work of e3 (64 slots)"), planned("drain e3").costForOthers)
    }

    @Test
    fun `the TOML form is converted to the equivalent sentence`() {
        assertEquals(
            "protect print orders until 22:00",
            sentenceOf("i.toml", "action = \"protect\"\nclass = \"print orders\"\nuntil = \"22:00\"").get(),
        )
        assertEquals(
            "festival week: lookups first",
            sentenceOf("i.toml", "action = \"first\"\nclass = \"lookups\"\noccasion = \"festival week\"").get(),
        )
        listOf(
            "action = \"shout\"",
            "action = \"slow\"",
            "action = \"slow\"\nclass = \"lookups\"\nuntil = \"22:00\"",
            "action = \"protect\"\nclass = \"lookups\"",
            "action = \"slow\"\nclas = \"lookups\"",
        ).forEach { assertIs<IntentFailure.MalformedFile>(sentenceOf("i.toml", it).getError(), it) }
    }

    private fun planned(sentence: String): Plan = assertNotNull(planFor(sentence, context).get(), sentence)

    private companion object {
        const val HOUR = 3_600_000L
        const val NOON = 12 * HOUR
    }
}
