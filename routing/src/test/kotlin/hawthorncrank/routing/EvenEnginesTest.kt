package hawthorncrank.routing

import hawthorncrank.routing.PromptLoads.ALL
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against busy engines of even speed that are taken for slow, so that others get their work. */
class EvenEnginesTest {
    @TestFactory
    fun `reading reports changes little on engines of even speed`() =
        ALL.flatMap { load -> FACTORS.map { load to it } }.map { (load, factor) ->
            DynamicTest.dynamicTest("$factor times the load of ${load.engines.name}") {
                val before = onTime(load, factor, readsReports = false)
                val after = onTime(load, factor, readsReports = true)
                println("${load.engines.name} x $factor: on time $before, with reports $after")
                assertEquals(
                    emptySet(),
                    before
                        .filter { (name, share) ->
                            after.getValue(name) < share - LARGEST_LOSS
                        }.keys,
                )
            }
        }

    private fun onTime(
        load: PromptLoad,
        factor: Double,
        readsReports: Boolean,
    ): Map<String, Double> {
        val callers =
            (1L..SEEDS).flatMap { OverloadRun(load, { _, _ -> factor }, emptyList(), it, readsReports).run() }
        return callers.groupBy { it.kind.name }.mapValues { (_, ofKind) ->
            ofKind.count { it.onTime } /
                ofKind.size.toDouble()
        }
    }

    private companion object {
        const val SEEDS = 2L
        val FACTORS = listOf(1.0, 2.0, 3.0)

        /** The loss that the operators accept on deployments that have no uneven engines. */
        const val LARGEST_LOSS = 0.03
    }
}
