package hawthorncrank.routing

import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.WorkTarget
import kotlin.math.abs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Checks each rule of section 7.5 against the fault that it prevents. */
class RouterTest {
    private val classes = listOf(TrafficClass("c1", 1, firstToken = Milliseconds(1_800)), TrafficClass("c5", 5))

    @Test
    fun `equal histories give equal choices and seeds give different ones`() {
        fun names(seed: Long) = choices(fleet(10, seed = seed), 30) { _, router -> router }
        assertEquals(names(1), names(1))
        assertTrue((2L..10L).any { names(it) != names(1) }, "entries with different seeds make the same choices")
    }

    @Test
    fun `entries that see the same reports do not herd to the engine reported as least loaded`() {
        val counts = mutableMapOf<String, Int>()
        for (seed in 1L..60L) {
            var router = fleet(10, seed = seed, liveEntries = 60)
            for (engine in 0 until 10) router = router.observeLoad("e$engine", load(if (engine == 0) 30 else 32), 0)
            counts.merge(chosen(router, work(1), now = 100), 1, Int::plus)
        }
        assertTrue(counts.getOrDefault("e0", 0) < 30, "60 entries chose $counts")
    }

    @Test
    fun `a report counts less as it ages, and in full with discounting switched off`() {
        fun share(
            policy: RoutingPolicy,
            now: Long,
        ) = fleet(1, policy = policy, liveEntries = 4).observeLoad("e0", load(0), 0).view.share("e0", now)
        val owned = fleet(1, liveEntries = 4).view.share("e0", 0)
        assertEquals(owned + 16.0, share(RoutingPolicy(), 0), 0.01)
        assertEquals(owned + 4.0, share(RoutingPolicy(), 2_000), 0.01)
        assertEquals(owned + 16.0, share(RoutingPolicy(loadDiscounting = false), 2_000), 0.01)
    }

    @Test
    fun `shares of all entries add up to about the slots, whatever their number`() {
        for (entries in listOf(1, 2, 3, 9, 33)) {
            var router = fleet(1, liveEntries = entries)
            var placed = 0
            while (router.place(question(work(placed.toLong())), 0) is RoutingAnswer.Chosen) {
                router = start(router, work(placed.toLong()), "e0")
                placed++
            }
            val floor = minOf(0.25, 2.0 * entries / SLOTS) * SLOTS
            val sum = placed * entries
            assertTrue(
                abs(sum - (SLOTS - floor)) <= entries / 2.0 + 0.001,
                "$entries entries start $sum of $SLOTS slots",
            )
        }
    }

    @Test
    fun `a lower tier does not block a higher one, and the upstream with the lowest preemptable tier is taken`() {
        var router = fleet(2)
        var number = 0L
        while (router.place(question(work(number, tier = 5), tier = 5), 0) is RoutingAnswer.Chosen) {
            val answer = assertIs<RoutingAnswer.Chosen>(router.place(question(work(number, tier = 5), tier = 5), 0))
            router = start(answer.router, work(number++, tier = 5), answer.upstream, tier = 5)
        }
        val preemptable = mapOf("e0" to 4, "e1" to 5)
        val question = RoutingQuestion(work(number), 1, CapacityKind.SHARED, preemptableTier = preemptable::get)
        val answer = assertIs<RoutingAnswer.Chosen>(router.place(question, 0))
        assertEquals("e1" to true, answer.upstream to answer.overcommitted)
        val unaware = fleet(2, policy = RoutingPolicy(tierAware = false))
        val full =
            (0L until number).fold(
                unaware,
            ) { next, index -> start(next, work(index, tier = 5), "e${index % 2}", tier = 5) }
        assertEquals(RoutingAnswer.NoRoom, full.place(question, 0), "without rule R2, lower tiers take up the room")
    }

    @Test
    fun `a prompt goes to the engine that holds its prefix, and gaps reduce confidence until it is ignored`() {
        val blocks = List(8) { 100L + it }
        val question = question(work(1, blocks = blocks))

        fun hits(router: Router) = (1L..40L).count { seed -> chosen(router.reseeded(seed), question) == "e7" }
        val stored = { seed: Long -> fleet(10, seed = seed).observeCache("e7", 1, blocks, emptyList()) }
        assertEquals(40, (1L..40L).count { chosen(stored(it), question) == "e7" })
        val gaps = { seed: Long ->
            listOf(5L, 9L, 13L).fold(stored(seed)) { router, sequence ->
                router.observeCache("e7", sequence, emptyList(), emptyList())
            }
        }
        assertTrue((1L..40L).count { chosen(gaps(it), question) == "e7" } < 20)
        val evicted = { seed: Long -> stored(seed).observeCache("e7", 2, emptyList(), blocks) }
        assertTrue((1L..40L).count { chosen(evicted(it), question) == "e7" } < 20)
        assertTrue(hits(fleet(10, policy = RoutingPolicy(prefixAffinity = false))) < 20)
    }

    @Test
    fun `the prefix index stays within its bound`() {
        var router = fleet(2)
        for (batch in 0 until 4_000L) {
            router = router.observeCache("e0", batch, List(32) { batch * 32 + it }, emptyList())
            assertTrue(router.view.prefixBlocks <= 50_000)
        }
        assertTrue(router.view.prefixBlocks > 20_000)
    }

    @Test
    fun `a slow engine is detected after five seconds and recovers in steps`() {
        val factors = mutableListOf<Pair<Long, Double>>()
        var router = fleet(4)
        for (second in 0L..40L) {
            for (engine in 0 until 4) {
                val slow = engine == 0 && second in 1 until 15
                val report = UpstreamLoad(second + 1, 10, 0, SLOTS, if (slow) 120.0 else 30.0)
                router = router.observeLoad("e$engine", report, second * 1_000)
            }
            val factor = router.view.speedFactor("e0")
            if (factors.lastOrNull()?.second != factor) factors += second to factor
            assertEquals(1.0, router.view.speedFactor("e1"))
        }
        assertEquals(listOf(1.0, 0.1, 0.3, 1.0), factors.map { it.second })
        assertEquals(6L, factors[1].first, "detected five seconds after the first slow report")
        assertTrue(factors.zipWithNext().all { (before, after) -> after.first - before.first >= 5 }, "$factors")
    }

    @Test
    fun `free room in the region is used before room of lower tiers in the zone, and zones without engines share it`() {
        val here = Upstream("here", UpstreamKind.ENGINE, "", "z1", "r1", listOf("m"), slots = 1)
        val near = Upstream("near", UpstreamKind.ENGINE, "", "z2", "r1", listOf("m"), slots = 8)
        var router = router(Configuration(classes, upstreams = listOf(here, near)), LOCATION, 1, 1)
        router = start(router, work(1, tier = 5), "here", tier = 5)
        assertEquals("near", chosen(router, work(2), now = 0))
        val full = router.observeLoad("near", UpstreamLoad(1, 8, 0, 8, null), 0)
        val above = assertIs<RoutingAnswer.Chosen>(full.place(question(work(2)), 0))
        assertEquals("here" to true, above.upstream to above.overcommitted)
        val alone = full.setEligible("here", false)
        assertEquals(4.0, alone.view.share("near", 0), 0.01, "two zones share the engine")
        assertEquals("near", chosen(alone, work(2), now = 0))
    }

    @Test
    fun `another region is used only once half of the latency target has passed, and its bytes are counted`() {
        val here = Upstream("here", UpstreamKind.ENGINE, "", "z1", "r1", listOf("m"), slots = 1)
        val there = Upstream("there", UpstreamKind.ENGINE, "", "z9", "r9", listOf("m"), slots = 8)
        var router = router(Configuration(classes, upstreams = listOf(here, there)), LOCATION, 1, 1)
        router = start(router, work(1), "here")
        assertEquals(RoutingAnswer.NoRoom, router.place(question(work(2)), 500))
        assertEquals("there", chosen(router, work(2), now = 1_000))
        router = start(router, work(2), "there").attemptEnded(2, answerBytes = 500)
        assertEquals(1_500, router.view.crossRegionBytes("o"))
        val cutOff = router.setEligible("here", false)
        assertEquals("there", chosen(cutOff, work(3), now = 0), "without any upstream in the region it is used at once")
    }

    @Test
    fun `drained and excluded upstreams receive nothing, and one without any report is still used`() {
        val router = fleet(3).setEligible("e0", false)
        val excluded = PlacementConstraint(excluded = setOf("e1"))
        val question = RoutingQuestion(work(1), 1, CapacityKind.SHARED, excluded)
        assertEquals("e2", chosen(router, question))
        assertEquals(RoutingAnswer.ConstraintUnmet, router.setEligible("e2", false).place(question, 0))
        val none = router.setEligible("e1", false).setEligible("e2", false)
        assertEquals(RoutingAnswer.NoUpstream, none.place(question, 0))
        assertFalse(none.view.isEligible("e2"))
    }

    @Test
    fun `a suspect goes to the engine with no other suspect and the least other work`() {
        var router = fleet(3)
        router = start(router, work(1), "e0")
        router = start(start(router, work(2), "e1"), work(3), "e1")
        router = router.attemptStarted(RoutedAttempt(4, "e2", work(4), 1, CapacityKind.SHARED, suspect = true), 0)
        val isolated = RoutingQuestion(work(5), 1, CapacityKind.SHARED, PlacementConstraint(isolated = true))
        assertEquals("e0", chosen(router, isolated))
        val busy = router.setEligible("e0", false).setEligible("e1", false)
        assertEquals(RoutingAnswer.ConstraintUnmet, busy.place(isolated, 0))
        assertEquals("e2", chosen(busy.attemptEnded(4), isolated))
    }

    private fun fleet(
        engines: Int,
        seed: Long = 1,
        liveEntries: Int = 1,
        policy: RoutingPolicy = RoutingPolicy(),
    ): Router {
        val upstreams =
            List(engines) { Upstream("e$it", UpstreamKind.ENGINE, "", "z1", "r1", listOf("m"), slots = SLOTS) }
        return router(Configuration(classes, upstreams = upstreams), LOCATION, liveEntries, seed, policy)
    }

    private fun Router.reseeded(seed: Long): Router =
        (0 until seed).fold(
            this,
        ) { router, _ -> assertIs<RoutingAnswer.Chosen>(router.place(question(work(0)), 0)).router }

    private fun choices(
        start: Router,
        count: Int,
        after: (String, Router) -> Router,
    ): List<String> {
        var router = start
        return List(count) { number ->
            val answer = assertIs<RoutingAnswer.Chosen>(router.place(question(work(number.toLong())), 0))
            router = after(answer.upstream, answer.router)
            answer.upstream
        }
    }

    private fun chosen(
        router: Router,
        question: RoutingQuestion,
        now: Long = 0,
    ) = assertIs<RoutingAnswer.Chosen>(router.place(question, now)).upstream

    private fun chosen(
        router: Router,
        work: QueuedWork,
        now: Long,
    ) = chosen(router, question(work), now)

    private fun question(
        work: QueuedWork,
        tier: Int = 1,
    ) = RoutingQuestion(work, tier, CapacityKind.SHARED)

    private fun start(
        router: Router,
        work: QueuedWork,
        upstream: String,
        tier: Int = 1,
    ) = router.attemptStarted(RoutedAttempt(work.requestNumber, upstream, work, tier, CapacityKind.SHARED), 0)

    private fun load(running: Int) = UpstreamLoad(1, running, 0, SLOTS, null)

    private fun work(
        number: Long,
        tier: Int = 1,
        blocks: List<Long> = emptyList(),
    ) = QueuedWork(number, "o", "c$tier", tier, WorkTarget.Model("m"), 0, null, 10, 100, 1_000, blocks, true)

    private companion object {
        const val SLOTS = 64
        val LOCATION = RouterLocation("z1", "r1")
    }
}
