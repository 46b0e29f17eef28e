package hawthorncrank.bench.internal

import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind

/** The inputs of a policy run: engines, entries, classes with their demand, organisations and faults. */
internal data class Scenario(
    val seed: Long,
    val duration: Long = 600_000,
    val entries: Int = 3,
    val engines: List<EngineModel> = List(6) { EngineModel("engine-$it") },
    val classes: List<ClassDemand> = DEFAULT_CLASSES,
    val organisations: List<OrganisationDemand> = DEFAULT_ORGANISATIONS,
    val bursts: List<Burst> = DEFAULT_BURSTS,
    val faults: List<EngineFault> = DEFAULT_FAULTS,
    val reportEvery: Long = 500,
    val reportLag: Long = 400,
    val cacheEventLag: Long = 1_000,
    val cacheGapProbability: Double = 0.05,
) {
    /** Tokens per second that all engines produce together when their batches are full. */
    val capacity: Double
        get() = engines.sumOf { it.slots / it.interval(it.slots) * 1_000 }

    fun withLoad(factor: Double) = copy(classes = classes.map { it.copy(demand = it.demand * factor) })

    fun configuration() =
        Configuration(
            classes = classes.map { it.settings },
            organisations =
                organisations.map {
                    Organisation(
                        it.name,
                        REGION,
                        classes.map { demand -> demand.settings.name },
                        emptyList(),
                        weight = it.weight,
                        requestsInFlight = 100_000,
                        requestsPerSecond = 100_000,
                        tokensPerSecond = 10_000_000,
                    )
                },
            upstreams =
                engines.map {
                    Upstream(it.name, UpstreamKind.ENGINE, "", ZONE, REGION, listOf(MODEL), slots = it.slots)
                },
        )

    companion object {
        const val MODEL = "model"
        const val ZONE = "zone"
        const val REGION = "region"

        private fun trafficClass(
            tier: Int,
            firstToken: Long?,
            finishBy: Long,
        ) = TrafficClass(
            "tier-$tier",
            tier,
            firstToken = firstToken?.let { Milliseconds(it) },
            betweenTokens = if (tier <= 2) Milliseconds(49) else null,
            finishBy = Milliseconds(finishBy),
        )

        /**
         * The total demand is twice the capacity. The highest tier alone needs less than four fifths of the capacity,
         * even in its burst.
         */
        private val DEFAULT_CLASSES =
            listOf(
                ClassDemand(trafficClass(1, 1_800, 30_000), demand = 0.25, meanTokens = 80.0, spread = 0.8),
                ClassDemand(trafficClass(2, 1_800, 60_000), demand = 0.35, meanTokens = 200.0, spread = 0.9),
                ClassDemand(trafficClass(3, 10_000, 90_000), demand = 0.40, meanTokens = 250.0, spread = 0.9),
                ClassDemand(trafficClass(4, null, 300_000), demand = 0.50, meanTokens = 700.0, spread = 1.0),
                ClassDemand(trafficClass(5, null, 600_000), demand = 0.50, meanTokens = 400.0, spread = 1.2),
            )

        private val DEFAULT_ORGANISATIONS =
            List(24) { OrganisationDemand("organisation-$it", weight = 1, demand = if (it < 3) 15.0 else 1.0) }

        private val DEFAULT_BURSTS =
            listOf(
                Burst("tier-1", from = 120_000, until = 180_000, factor = 2.6),
                Burst("tier-3", from = 300_000, until = 360_000, factor = 2.6),
                Burst("tier-1", from = 450_000, until = 480_000, factor = 2.6),
            )

        private val DEFAULT_FAULTS =
            listOf(
                EngineFault("engine-4", from = 200_000, until = 230_000, slowdown = null),
                EngineFault("engine-5", from = 250_000, until = 400_000, slowdown = 6.0),
            )
    }
}

/**
 * [demand] is a fraction of the capacity. Output lengths are log-normal: [meanTokens] is their mean, and [spread] is
 * the standard deviation of their logarithms.
 */
internal data class ClassDemand(
    val settings: TrafficClass,
    val demand: Double,
    val meanTokens: Double,
    val spread: Double,
)

internal data class OrganisationDemand(
    val name: String,
    val weight: Int,
    val demand: Double,
)

internal data class Burst(
    val className: String,
    val from: Long,
    val until: Long,
    val factor: Double,
)

/** Without a [slowdown] the engine is down for the period. Otherwise its token interval is multiplied by it. */
internal data class EngineFault(
    val engine: String,
    val from: Long,
    val until: Long,
    val slowdown: Double?,
)

/** An engine's speed. The token interval grows with the batch size, and uncached prompt blocks delay the next token. */
internal data class EngineModel(
    val name: String,
    val slots: Int = 32,
    val baseInterval: Double = 15.0,
    val intervalPerSequence: Double = 0.6,
    val cacheBlocks: Int = 160,
    val prefillMillisecondsPerBlock: Double = 8.0,
) {
    fun interval(batch: Int): Double = baseInterval + intervalPerSequence * batch
}
