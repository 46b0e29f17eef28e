package hawthorncrank.bench.internal

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.sun.management.ThreadMXBean
import hawthorncrank.routing.Router
import hawthorncrank.routing.RouterLocation
import hawthorncrank.routing.router
import java.lang.management.ManagementFactory
import java.util.Locale

/**
 * Measures how the cost of a decision and the memory of an entry grow. Steps and bytes are the same in every run. Times
 * are not on a shared machine, so compare only their growth within one run.
 */
internal class SlopesCommand : CliktCommand(name = "slopes") {
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

    override fun help(context: Context) = "Measure cost and memory against engines, organisations and queued requests."

    override fun run() {
        repeat(WARM_UP_ROUNDS) {
            measureCycle("warm-up", listOf(60), { SlopeSubject(it, 100).fill(1_000) }, print = false)
        }
        echo("one decision: an arrival, an end and the dispatch that starts a waiting request; 33 live entries")
        measureCycle("engines", listOf(6, 60, 150, 300, 600), { SlopeSubject(it, 100).fill(1_000) })
        measureCycle("organisations", listOf(100, 1_000, 4_000, 8_000, 12_000), { SlopeSubject(60, it).fill(24_000) })
        measureCycle(
            "queued requests",
            listOf(1_000, 5_000, 10_000, 20_000, 40_000),
            { SlopeSubject(60, 100).fill(it) },
        )
        echo("")
        echo("a dispatch that finds no room for any class")
        measureFullDispatch("engines", listOf(6, 60, 150, 300, 600)) { SlopeSubject(it, 100).fill(1_000) }
        measureFullDispatch("queued requests", listOf(1_000, 5_000, 10_000, 20_000, 40_000)) {
            SlopeSubject(60, 100).fill(it)
        }
        echo("")
        echo("memory in bytes, live heap after collection")
        measureMemory()
    }

    private fun measureCycle(
        name: String,
        sizes: List<Int>,
        subject: (Int) -> SlopeSubject,
        print: Boolean = true,
    ) = measure(name, sizes, subject, SlopeSubject::cycle, print)

    private fun measureFullDispatch(
        name: String,
        sizes: List<Int>,
        subject: (Int) -> SlopeSubject,
    ) = measure(name, sizes, subject, SlopeSubject::dispatchWithoutCapacity, print = true)

    private fun measure(
        name: String,
        sizes: List<Int>,
        subject: (Int) -> SlopeSubject,
        action: SlopeSubject.() -> Unit,
        print: Boolean,
    ) {
        val costs = sizes.map { it to cost(subject(it), action) }
        if (!print) return
        val largest = sizes.last()
        echo(Slope("$name: steps", costs.map { (size, cost) -> size to cost.steps }).describe(largest))
        echo(Slope("$name: allocated bytes", costs.map { (size, cost) -> size to cost.bytes }).describe(largest))
        echo(Slope("$name: microseconds", costs.map { (size, cost) -> size to cost.microseconds }).describe(largest))
    }

    private fun cost(
        subject: SlopeSubject,
        action: SlopeSubject.() -> Unit,
    ): Cost {
        repeat(DECISIONS / 4) { subject.action() }
        val steps = subject.steps
        val bytes = threads.currentThreadAllocatedBytes
        val time = System.nanoTime()
        repeat(DECISIONS) { subject.action() }
        return Cost(
            (subject.steps - steps).toDouble() / DECISIONS,
            (threads.currentThreadAllocatedBytes - bytes).toDouble() / DECISIONS,
            (System.nanoTime() - time) / 1_000.0 / DECISIONS,
        )
    }

    private fun measureMemory() {
        val organisation =
            memorySlope("organisation, 64 samples each", listOf(500, 1_000, 2_000), ::organisationsWithHistory)
        val engine = memorySlope("engine", listOf(200, 400, 600)) { SlopeSubject(it, 1).router }
        val queued =
            memorySlope("queued request", listOf(5_000, 10_000, 20_000)) { SlopeSubject(60, 100).fill(it).scheduler }
        val block = memorySlope("prefix block", listOf(6_000, 12_000, 24_000), ::routerWithBlocks)
        val total = organisation * 12_000 + engine * 600 + queued * 2_500 + block * 50_000
        echo(
            "planned size (12,000 organisations, 600 engines, 2,500 queued, 50,000 blocks): %.1f MB of 64 MB"
                .format(Locale.ROOT, total / 1e6),
        )
    }

    private fun memorySlope(
        name: String,
        sizes: List<Int>,
        build: (Int) -> Any,
    ): Double {
        val slope = Slope("$name: live bytes", sizes.map { it to liveBytes { build(it) } })
        echo(slope.describe(sizes.last()))
        return slope.perUnit
    }

    private fun liveBytes(build: () -> Any): Double {
        val before = usedHeapAfterCollection()
        val measured = build()
        val after = usedHeapAfterCollection()
        check(measured.hashCode() != 1) { "the measured object must stay reachable until the heap has been measured" }
        return (after - before).toDouble()
    }

    private fun usedHeapAfterCollection(): Long {
        repeat(3) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private class Cost(
        val steps: Double,
        val bytes: Double,
        val microseconds: Double,
    )

    private companion object {
        const val DECISIONS = 4_000
        const val WARM_UP_ROUNDS = 3
    }
}

private fun organisationsWithHistory(count: Int): Any {
    val subject = SlopeSubject(60, count)
    repeat(count * 64) {
        subject.offer()
        subject.dispatch()
        if (subject.inFlight > 50) subject.finishOldest()
    }
    while (subject.inFlight > 0) subject.finishOldest()
    return subject.scheduler
}

private fun routerWithBlocks(count: Int): Any {
    val start: Router = router(slopeConfiguration(60, 1), RouterLocation("zone", "region"), 33, randomSeed = 1)
    return (0 until count / 32).fold(start) { router, batch ->
        val blocks = List(32) { (batch * 32L + it) * 7_919 }
        router.observeCache("engine-${batch % 60}", batch.toLong() / 60, blocks, emptyList())
    }
}
