package hawthorncrank.load.internal

import hawthorncrank.load.Workload
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** The measured result of a run, as written to JSON. Times are in milliseconds. */
@Serializable
internal data class Report(
    val workload: String,
    val seed: Long,
    val classes: List<GroupReport>,
    val organisations: List<GroupReport>,
    val duplicates: Long?,
)

@Serializable
internal data class GroupReport(
    val name: String,
    val requests: Int,
    val endings: Map<String, Int>,
    val attainment: Double,
    val sends: Int,
    val firstToken: Percentiles,
    val betweenTokens: Percentiles,
    val total: Percentiles,
)

@Serializable
internal data class Percentiles(
    val count: Long,
    val p50: Double,
    val p95: Double,
    val p99: Double,
    val maximum: Double,
)

/** [duplicates] is the number of repeated runs of service calls, or null if no services were queried. */
internal fun report(
    workload: Workload,
    results: List<RequestResult>,
    duplicates: Long?,
): Report =
    Report(
        workload = workload.name,
        seed = workload.seed,
        classes =
            workload.classes.map { load ->
                group(load.name, results.filter { it.planned.load.name == load.name })
            },
        organisations =
            workload.organisations.map { organisation ->
                group(organisation.name, results.filter { it.planned.organisation.name == organisation.name })
            },
        duplicates = duplicates,
    )

/** Formats one line for each class and one for each organisation. */
internal fun table(report: Report): String =
    buildString {
        appendLine(HEADINGS)
        (report.classes + report.organisations).forEach { group ->
            appendLine(
                "%-24s %8d %8.2f%% %8.0f %8.0f %8.0f %8.0f  %s".format(
                    group.name,
                    group.requests,
                    group.attainment * PER_CENT,
                    group.firstToken.p50,
                    group.firstToken.p95,
                    group.betweenTokens.p95,
                    group.total.p95,
                    group.endings.entries.joinToString { "${it.key} ${it.value}" },
                ),
            )
        }
        report.duplicates?.let { appendLine("service calls that ran more than once: $it") }
    }

private fun group(
    name: String,
    results: List<RequestResult>,
): GroupReport {
    // A planned disconnect says nothing about the service level, so it is excluded from the attainment.
    val assessed = results.filter { it.ending != Ending.LEFT }
    return GroupReport(
        name = name,
        requests = results.size,
        endings =
            Ending.entries.associate { ending -> ending.text to results.count { it.ending == ending } }.filterValues {
                it >
                    0
            },
        attainment = if (assessed.isEmpty()) 1.0 else assessed.count { it.attained }.toDouble() / assessed.size,
        sends = results.sumOf { it.sends },
        firstToken = percentiles(results.mapNotNull { it.firstToken }),
        betweenTokens = percentiles(results.flatMap { it.tokenIntervals }),
        total = percentiles(results.filter { it.ending == Ending.WHOLE }.map { it.total }),
    )
}

private fun percentiles(milliseconds: List<Double>): Percentiles {
    val histogram = Histogram(MAXIMUM_MICROSECONDS, SIGNIFICANT_DIGITS)
    milliseconds.forEach { value ->
        histogram.recordValue((value * MICROSECONDS_PER_MILLISECOND).toLong().coerceIn(0, MAXIMUM_MICROSECONDS))
    }

    fun at(percentile: Double) = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
    return Percentiles(
        count = histogram.totalCount,
        p50 = at(50.0),
        p95 = at(95.0),
        p99 = at(99.0),
        maximum = histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
    )
}

private const val HEADINGS =
    "name                     requests  attained  first50  first95 betwn95  total95  endings (times in ms)"
private const val PER_CENT = 100
private const val MAXIMUM_MICROSECONDS = 2 * 3_600_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val MICROSECONDS_PER_MILLISECOND = 1_000.0
