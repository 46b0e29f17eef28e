package hawthorncrank.routing

import hawthorncrank.routing.PromptLoads.ALL
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/**
 * Guards against overloads in which the longest answers of a class reach their deadline on engines that prefill the prompts
 * of others without a pause, while short answers end in time.
 */
class ServedBySizeTest {
    @TestFactory
    fun `in an overload answers of every size are served at least half as often as their class`() =
        ALL.flatMap { load -> FACTORS.map { load to it } }.map { (load, factor) ->
            DynamicTest.dynamicTest("$factor times the load of ${load.engines.name}") {
                val bySize = servedBySize(load, factor)
                println(bySize.joinToString("\n", "\n${load.engines.name} x $factor\n"))
                assertEquals(emptyList(), bySize.filter { it.tenths.min() < it.all / 2 })
            }
        }

    private fun servedBySize(
        load: PromptLoad,
        factor: Double,
    ): List<ServedBySize> {
        val bounded = load.copy(longestAnswer = LONGEST_ANSWER, sharedParts = SHARED_PARTS)
        val callers = (1L..SEEDS).flatMap { OverloadRun(bounded, burst(factor), CRASHES, it).run() }
        return load.kinds.map { kind -> ServedBySize.of(kind.name, callers.filter { it.kind.name == kind.name }) }
    }

    private fun burst(factor: Double) = { _: StreamKind, now: Double -> if (now < BURST_END) factor else 1.0 }

    private companion object {
        const val SEEDS = 2L
        const val BURST_END = 30_000.0
        const val LONGEST_ANSWER = 3.0
        const val SHARED_PARTS = 50
        val FACTORS = listOf(1.5, 2.6, 3.5)
        val CRASHES = listOf(EngineCrash(6_000.0, 0.25, 5_000.0), EngineCrash(16_000.0, 0.25, 5_000.0))
    }
}
