package hawthorncrank.scheduling

import hawthorncrank.protocol.Organisation
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks P2 (no class waits forever) and fairness among organisations under lasting overload in virtual time. */
class OverloadTest {
    @Test
    fun `every class with queued work starts some within two service times under overload by higher tiers`() {
        for (seed in SEEDS) assertTrue(longestGap(seed, SchedulingPolicy()) <= 2 * LONGEST_SERVICE, "seed $seed")
    }

    @Test
    fun `without floors the lowest class starves`() {
        val gaps = SEEDS.map { longestGap(it, SchedulingPolicy(floor = false)) }
        println("seeds $SEEDS: longest gaps without floors $gaps")
        assertTrue(gaps.all { it > 2 * LONGEST_SERVICE })
    }

    @Test
    fun `tokens served to organisations differ by at most two requests for each unit of weight`() {
        for (seed in SEEDS) assertTrue(largestDifference(seed, SchedulingPolicy()) <= 2 * LONGEST_OUTPUT, "seed $seed")
    }

    @Test
    fun `without fairness a large organisation takes the share of the small ones`() {
        val differences = SEEDS.map { largestDifference(it, SchedulingPolicy(fairness = false)) }
        println("seeds $SEEDS: differences without fairness ${differences.map { it.toInt() }}")
        assertTrue(differences.all { it > 2 * LONGEST_OUTPUT })
    }

    /**
     * The longest time for which a class had work queued and started none, with tiers 1 to 4 at three times capacity.
     */
    private fun longestGap(
        seed: Long,
        policy: SchedulingPolicy,
    ): Long {
        val random = Random(seed)
        val run = VirtualRun(policy, slots = 8)
        val lastStart = mutableMapOf<String, Long>()
        var longest = 0L
        while (run.now < 120_000) {
            val tier = if (random.nextInt(20) == 0) 5 else random.nextInt(1, 5)
            run.offer(tier, "o${random.nextInt(4)}")
            val started = run.advance(random.nextLong(1, 80)) { random.nextLong(100, LONGEST_SERVICE) to 1 }
            for (settings in historyConfiguration().classes) {
                val name = settings.name
                if (run.scheduler.view
                        .queuedOf(name)
                        .requests == 0 || started.any { it.className == name }
                ) {
                    lastStart[name] = run.now
                }
                longest = maxOf(longest, run.now - lastStart.getOrPut(name) { run.now })
            }
        }
        return longest
    }

    /** The largest difference in tokens served per unit of weight, among organisations that always have work queued. */
    private fun largestDifference(
        seed: Long,
        policy: SchedulingPolicy,
    ): Double {
        val random = Random(seed)
        val run = VirtualRun(policy.copy(floor = false), slots = 1, queueRequests = 2_000)
        val weights = mapOf("o0" to 1, "o1" to 2, "o2" to 1, "o3" to 2)
        for (organisation in weights.keys) {
            repeat(
                if (organisation ==
                    "o0"
                ) {
                    1_000
                } else {
                    200
                },
            ) { run.offer(3, organisation) }
        }
        val served = weights.keys.associateWith { 0.0 }.toMutableMap()
        repeat(200) {
            run.advance(1_000) {
                val tokens = random.nextInt(1, LONGEST_OUTPUT)
                served.merge(it.organisation, tokens.toDouble() / weights.getValue(it.organisation), Double::plus)
                1_000L to tokens
            }
        }
        return served.values.max() - served.values.min()
    }

    @Test
    fun `an organisation that was idle earns no credit`() {
        val run = VirtualRun(SchedulingPolicy(floor = false), slots = 1, queueRequests = 2_000)
        repeat(300) { run.offer(3, "o0") }
        repeat(100) { run.advance(1_000) { 1_000L to 10 } }
        repeat(100) { run.offer(3, "o2") }
        val next = List(20) { run.advance(1_000) { 1_000L to 10 } }.flatten().map { it.organisation }
        assertEquals(10, next.count { it == "o2" }, "equal weights alternate from now on: $next")
    }

    private class VirtualRun(
        policy: SchedulingPolicy,
        slots: Int,
        queueRequests: Int = 6,
    ) {
        private val configuration =
            historyConfiguration(queueRequests).let { base ->
                base.copy(
                    organisations =
                        base.organisations.map { organisation: Organisation ->
                            organisation.copy(requestsInFlight = 5_000, requestsPerSecond = 5_000)
                        },
                )
            }
        var scheduler = scheduler(configuration, policy)
        private var engines = FakeEngines(mapOf("e1" to slots))
        private val ends = sortedMapOf<Long, MutableList<Pair<Long, Int>>>()
        private var next = 1L
        var now = 0L
            private set

        fun offer(
            tier: Int,
            organisation: String,
        ) {
            val work =
                QueuedWork(
                    next++,
                    organisation,
                    "tier-$tier",
                    tier,
                    WorkTarget.Model("m"),
                    now,
                    finishBy = null,
                    promptTokens = 1,
                    maximumTokens = null,
                    bodyBytes = 1,
                    prefixBlocks = emptyList(),
                    idempotent = true,
                )
            scheduler = scheduler.offer(work, now).scheduler
        }

        /** Ends requests that are due, then starts others; [service] gives the duration and tokens of each start. */
        fun advance(
            by: Long,
            service: (QueuedWork) -> Pair<Long, Int>,
        ): List<QueuedWork> {
            now += by
            while (ends.isNotEmpty() && ends.firstKey() <= now) {
                for ((number, tokens) in ends.remove(ends.firstKey()).orEmpty()) {
                    if (number !in engines.running) continue
                    scheduler = scheduler.finished(number, tokens, complete = true, now)
                    engines = engines.without(number)
                }
            }
            val result = scheduler.dispatch(now, engines, FakeEngines.placement())
            scheduler = result.scheduler
            engines = result.routing
            val started = result.decisions.filterIsInstance<DispatchDecision.Start>().map { it.work }
            for (work in started) {
                val (duration, tokens) = service(work)
                ends.getOrPut(now + duration) { mutableListOf() } += work.requestNumber to tokens
            }
            return started
        }
    }

    private companion object {
        val SEEDS = 1L..20L
        const val LONGEST_SERVICE = 2_000L
        const val LONGEST_OUTPUT = 100
    }
}
