package hawthorncrank.routing

import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.WorkTarget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * Checks where prompts go when entries see only their own work. The loads are many callers of few long prompts, and one
 * hot prompt.
 */
class PromptDelaysTest {
    private val engines = listOf("north", "south", "west").flatMap { zone -> (1..3).map { engine("$zone-$it", zone) } }

    /** Guards against every zone processing every shared prompt for itself. */
    @Test
    fun `entries of all zones send a long shared prompt to the same engine`() {
        for (part in 1L..20L) {
            val preferred = listOf("north", "south", "west").map { place(routerIn(it), long(part, 1)) }
            assertEquals(1, preferred.distinct().size, "part $part goes to $preferred")
        }
    }

    /** Guards against pauses in short answers while an engine processes a long prompt. */
    @Test
    fun `long and short prompts go to different engines`() {
        val long = (1L..40L).map { place(routerIn("north"), long(it, 1)) }.toSet()
        val short = (1L..40L).map { place(routerIn("north"), short(it)) }.toSet()
        assertEquals(emptySet(), long intersect short)
        assertTrue(short.all { it.startsWith("north") }, "short prompts leave their zone: $short")
    }

    /** Guards against one hot prompt that overloads its preferred engine while other engines are free. */
    @Test
    fun `a hot prompt goes to other engines once its preferred engine has more prefill pending than the prompt`() {
        var router = routerIn("north")
        val placed =
            (1L..12L).map { number ->
                val work = long(7, number)
                val name = place(router, work)
                router = router.attemptStarted(RoutedAttempt(number, name, work, 1, CapacityKind.SHARED), 0)
                name
            }
        assertTrue(placed.toSet().size > 1, "all go to ${placed.first()}")
        val prefilled = placed.indices.fold(router) { next, index -> next.firstTokenReceived(index + 1L, 300) }
        assertTrue(place(prefilled, long(7, 99)) in placed, "an engine without the prompt is chosen")
    }

    /** Guards against urgent short prompts that wait on the engines kept for them while other engines have free slots. */
    @Test
    fun `many entries together do not fill the engines for short prompts while others of the zone have room`() {
        val zone = (10..26).map { engine("north-$it", "north", slots = 24) }
        val entries = 14
        val running = HashMap<String, Int>()
        val routers = MutableList(entries) { routerIn("north", zone, entries, seed = it.toLong()) }
        for (number in 1L..12L) {
            for (entry in routers.indices) {
                val work = short(number * entries + entry)
                val name = place(routers[entry], work)
                val attempt = RoutedAttempt(work.requestNumber, name, work, 1, CapacityKind.SHARED)
                routers[entry] = routers[entry].attemptStarted(attempt, 0)
                running.merge(name, 1, Int::plus)
            }
        }
        assertTrue(running.values.max() <= 24, "requests by engine: $running")
    }

    @Test
    fun `an engine that leaves moves only its own prompts`() {
        val before = (1L..40L).associateWith { place(routerIn("north"), long(it, 1)) }
        val gone = before.getValue(1)
        val after = (1L..40L).associateWith { place(routerIn("north").setEligible(gone, false), long(it, 1)) }
        before.filterValues { it != gone }.forEach { (part, name) -> assertEquals(name, after[part]) }
    }

    private fun routerIn(
        zone: String,
        upstreams: List<Upstream> = engines,
        entries: Int = 1,
        seed: Long = zone.hashCode().toLong(),
    ) = router(
        Configuration(classes = listOf(PLAN, GUESS), upstreams = upstreams),
        RouterLocation(zone, zone),
        liveEntries = entries,
        randomSeed = seed,
        policy = RoutingPolicy(choice = ChoiceRule.LEAST_DELAY, reservesFloors = false),
    )

    private fun place(
        router: Router,
        work: QueuedWork,
    ): String = assertIs<RoutingAnswer.Chosen>(router.place(RoutingQuestion(work, 1, CapacityKind.SHARED), 0)).upstream

    private fun long(
        part: Long,
        number: Long,
    ) = work(number, PLAN, promptTokens = 17_000, sharedTokens = 13_300, listOf(part, part * 1_000 + number))

    private fun short(number: Long) =
        work(number, GUESS, promptTokens = 1_460, sharedTokens = 350, listOf(number % 8, number))

    private fun work(
        number: Long,
        trafficClass: TrafficClass,
        promptTokens: Int,
        sharedTokens: Int,
        blocks: List<Long>,
    ) = QueuedWork(
        number,
        "organisation",
        trafficClass.name,
        1,
        WorkTarget.Model("model"),
        arrival = 0,
        finishBy = null,
        promptTokens,
        maximumTokens = 100,
        bodyBytes = 100,
        prefixBlocks = blocks,
        idempotent = true,
        sharedTokens = sharedTokens,
    )

    private fun engine(
        name: String,
        zone: String,
        slots: Int = 64,
    ) = Upstream(name, UpstreamKind.ENGINE, "127.0.0.1:1", zone, zone, models = listOf("model"), slots = slots)

    private companion object {
        val PLAN = TrafficClass("plan", 1, firstToken = Milliseconds(2_500), betweenTokens = Milliseconds(500))
        val GUESS = TrafficClass("guess", 1, firstToken = Milliseconds(500), betweenTokens = Milliseconds(120))
    }
}
