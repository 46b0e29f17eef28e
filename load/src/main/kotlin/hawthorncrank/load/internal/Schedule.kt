package hawthorncrank.load.internal

import hawthorncrank.load.ClassLoad
import hawthorncrank.load.OrganisationLoad
import hawthorncrank.load.Workload
import java.util.SplittableRandom
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt

/** Draws the arrivals of every class as a Poisson process from the workload's seed, so that a run can be repeated. */
internal fun schedule(workload: Workload): List<PlannedRequest> {
    val random = SplittableRandom(workload.seed)
    val arrivals =
        workload.classes
            .flatMap { load -> arrivalTimes(workload, load, random.split()).map { it to load } }
            .sortedBy { it.first }
            .take(workload.maximumRequests)
    return arrivals.mapIndexed { number, (time, load) ->
        PlannedRequest(
            number = number,
            time = time,
            load = load,
            organisation = pickOrganisation(workload.organisations, random),
            entry = workload.entries[random.nextInt(workload.entries.size)],
            outputTokens = outputTokens(load, random),
            leaves = random.nextDouble() < load.leaveShare,
            resends = if (random.nextDouble() < load.resendShare) load.resends else 0,
        )
    }
}

private fun arrivalTimes(
    workload: Workload,
    load: ClassLoad,
    random: SplittableRandom,
): List<Long> {
    val bursts = workload.bursts.filter { it.className == load.name }
    val peak = load.requestsPerSecond * (1.0 + bursts.sumOf { (it.factor - 1).coerceAtLeast(0.0) })
    if (peak <= 0) return emptyList()
    val end = workload.duration.value / MILLISECONDS_PER_SECOND
    val times = mutableListOf<Long>()
    var second = 0.0
    // Thinning: draws candidates at the peak rate and keeps each with probability (rate at its time) / (peak rate).
    while (times.size < workload.maximumRequests) {
        second += -ln(1 - random.nextDouble()) / peak
        if (second >= end) break
        val factor =
            bursts.fold(1.0) { product, burst ->
                val start = burst.start.value / MILLISECONDS_PER_SECOND
                val inside = second >= start && second < start + burst.duration.value / MILLISECONDS_PER_SECOND
                if (inside) product + burst.factor - 1 else product
            }
        if (random.nextDouble() * peak <
            load.requestsPerSecond * factor
        ) {
            times += (second * NANOSECONDS_PER_SECOND).toLong()
        }
    }
    return times
}

private fun pickOrganisation(
    organisations: List<OrganisationLoad>,
    random: SplittableRandom,
): OrganisationLoad {
    var remainingShare = random.nextDouble() * organisations.sumOf { it.share }
    return organisations.firstOrNull {
        remainingShare -= it.share
        remainingShare < 0
    } ?: organisations.last()
}

private fun outputTokens(
    load: ClassLoad,
    random: SplittableRandom,
): Int {
    val gaussian = (1..GAUSSIAN_TERMS).sumOf { random.nextDouble() } - GAUSSIAN_TERMS / 2.0
    return (load.outputTokens * exp(load.outputSpread * gaussian)).roundToInt().coerceIn(1, load.maximumTokens)
}

// The sum of 12 uniform variables has variance 1 and approximates a normal distribution well enough for output lengths.
private const val GAUSSIAN_TERMS = 12
private const val MILLISECONDS_PER_SECOND = 1_000.0
private const val NANOSECONDS_PER_SECOND = 1e9
