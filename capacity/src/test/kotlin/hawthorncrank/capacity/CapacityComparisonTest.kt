package hawthorncrank.capacity

import kotlin.math.ceil
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against a plan that saves engines at the expense of callers, or keeps engines that nobody needs. */
class CapacityComparisonTest {
    @Test
    fun `the plan costs far less than a fixed number and keeps the targets better than the mean load`() {
        (1..SEEDS).forEach { seed ->
            val load = ReplayedLoad(seed)
            val fixed = LoadReplay(load, { _, _ -> emptyList() }).run()
            val mean = LoadReplay(load, followsMean(load)).run()
            val future = LoadReplay(load, knowsFuture(load)).run()
            val planned = LoadReplay(load, planPolicy()).run()
            mapOf("fixed" to fixed, "mean" to mean, "future" to future, "plan" to planned).forEach { (name, result) ->
                println("seed $seed $name: $result")
            }
            load.kinds.forEach { kind ->
                assertTrue(planned.lateShare(kind.name) <= fixed.lateShare(kind.name) + TOLERANCE, kind.name)
                assertTrue(planned.lateShare(kind.name) <= mean.lateShare(kind.name), kind.name)
            }
            assertTrue(planned.cost < fixed.cost / 4, "$planned")
            assertTrue(planned.cost < future.cost, "$planned")
        }
    }

    private fun planPolicy(): CapacityPolicy {
        var state = CapacityState()
        return { observation, now ->
            val planned = plan(state, listOf(observation), now)
            state = planned.state
            planned.orders
        }
    }

    /** Regular engines for the mean of the last minute, in equal numbers in all zones. */
    private fun followsMean(load: ReplayedLoad): CapacityPolicy {
        val shares = ArrayDeque<Double>()
        return { observation, _ ->
            observation.demand?.let { demand -> shares += demand.classes.sumOf { it.prefillShare ?: 0.0 } }
            if (shares.size > MEAN_SECONDS) shares.removeFirst()
            if (shares.size <
                MEAN_SECONDS / 2
            ) {
                emptyList()
            } else {
                regularEngines(load, observation, shares.average() / USE)
            }
        }
    }

    /** Regular engines alone for the highest load until an order that is given now serves, and a little beyond. */
    private fun knowsFuture(load: ReplayedLoad): CapacityPolicy =
        { observation, now ->
            val share =
                (now..now + FORESIGHT_MILLISECONDS step 500).maxOf { time ->
                    load.kinds.sumOf { load.rate(it, time) * it.ownTokens } / SimulatedEngine.TOKENS_PER_MILLISECOND /
                        1_000
                }
            regularEngines(load, observation, share / USE)
        }

    private fun regularEngines(
        load: ReplayedLoad,
        observation: ServiceObservation,
        count: Double,
    ): List<EngineOrder> {
        val zones =
            load.scaling.zonePrices.keys
                .toList()
        val all = ceil(count).toInt()
        return zones.mapIndexedNotNull { index, zone ->
            val pool = EnginePool(zone, false)
            val share = (all + zones.size - 1 - index) / zones.size
            val wanted = share.coerceIn(load.scaling.minimum, load.scaling.maximum)
            EngineOrder(observation.service, pool, wanted, OrderReason.DEMAND)
                .takeIf { observation.orders[pool]?.count != wanted }
        }
    }

    private companion object {
        const val SEEDS = 3
        const val TOLERANCE = 0.002
        const val USE = 0.8
        const val MEAN_SECONDS = 60
        const val FORESIGHT_MILLISECONDS = 10_000L
    }
}
