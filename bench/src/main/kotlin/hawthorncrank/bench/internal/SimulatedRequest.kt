package hawthorncrank.bench.internal

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.random.Random

/** A request of the workload. Only the engines and the reference planner know [outputTokens]; policies do not. */
internal class SimulatedRequest(
    val number: Long,
    val entry: Int,
    val demand: ClassDemand,
    val organisation: String,
    val arrival: Long,
    val outputTokens: Int,
    val prefixBlocks: List<Long>,
    val streamed: Boolean,
) {
    val finishBy: Long = arrival + demand.settings.finishBy!!.value
    val firstTokenBy: Long? = demand.settings.firstToken?.let { arrival + it.value }
    val promptTokens: Int
        get() = prefixBlocks.size * TOKENS_PER_BLOCK

    private companion object {
        const val TOKENS_PER_BLOCK = 400
    }
}

/** Generates the requests of a scenario in order of arrival. Equal seeds give equal workloads for every policy. */
internal fun workload(scenario: Scenario): List<SimulatedRequest> {
    val arrivals = scenario.classes.flatMap { arrivalsOf(scenario, it) }.sortedBy { it.second }
    val random = Random(scenario.seed)
    val totalDemand = scenario.organisations.sumOf { it.demand }
    return arrivals.mapIndexed { index, (demand, arrival) ->
        val organisation = pickOrganisation(scenario.organisations, totalDemand, random)
        SimulatedRequest(
            number = index.toLong(),
            entry = random.nextInt(scenario.entries),
            demand = demand,
            organisation = organisation.name,
            arrival = arrival,
            outputTokens = outputLength(demand, random),
            prefixBlocks = prefixBlocks(organisation.name, demand.settings.name, random),
            streamed = random.nextDouble() < STREAMED_SHARE,
        )
    }
}

private fun arrivalsOf(
    scenario: Scenario,
    demand: ClassDemand,
): List<Pair<ClassDemand, Long>> {
    val random = Random(scenario.seed * 31 + demand.settings.tier)
    val perMillisecond = scenario.capacity * demand.demand / demand.meanTokens / 1_000
    val arrivals = mutableListOf<Pair<ClassDemand, Long>>()
    var time = 0.0
    while (true) {
        val burst =
            scenario.bursts.firstOrNull {
                it.className == demand.settings.name &&
                    time.toLong() in it.from until it.until
            }
        time += -ln(1 - random.nextDouble()) / (perMillisecond * (burst?.factor ?: 1.0))
        if (time >= scenario.duration) return arrivals
        arrivals += demand to time.toLong()
    }
}

private fun pickOrganisation(
    organisations: List<OrganisationDemand>,
    total: Double,
    random: Random,
): OrganisationDemand {
    var remainingDemand = random.nextDouble() * total
    return organisations.firstOrNull {
        remainingDemand -= it.demand
        remainingDemand < 0
    } ?: organisations.last()
}

private fun outputLength(
    demand: ClassDemand,
    random: Random,
): Int {
    val mean = ln(demand.meanTokens) - demand.spread * demand.spread / 2
    val normal = sqrt(-2 * ln(1 - random.nextDouble())) * kotlin.math.cos(2 * Math.PI * random.nextDouble())
    return exp(mean + demand.spread * normal).toInt().coerceIn(1, MAXIMUM_OUTPUT_TOKENS)
}

/** Requests of one organisation and class share their first two blocks; later blocks depend on the conversation. */
private fun prefixBlocks(
    organisation: String,
    className: String,
    random: Random,
): List<Long> {
    val common = (organisation + className).hashCode().toLong() shl 20
    val conversation = random.nextInt(CONVERSATIONS).toLong() shl 8
    val length = 2 + random.nextInt(3)
    return List(length) { position -> if (position < 2) common + position else common + conversation + position }
}

private const val STREAMED_SHARE = 0.7
private const val MAXIMUM_OUTPUT_TOKENS = 8_000
private const val CONVERSATIONS = 20
