package hawthorncrank.bench.internal

import java.util.Locale

/** The results of one run that the report compares. */
internal class RunFigures(
    val attainment: List<Double>,
    val shed: List<Double>,
    val longestWait: List<Double>,
    val goodput: Double,
    val wasted: Double,
    val wastedBy: Map<String, Double>,
    val lowestClassLongestGap: Double,
    val smallOrganisationsServed: Double,
)

internal fun figures(
    scenario: Scenario,
    record: RunRecord,
): RunFigures {
    val names = scenario.classes.sortedBy { it.settings.tier }.map { it.settings.name }
    return RunFigures(
        attainment = names.map { record.of(it).attainment },
        shed = names.map { record.of(it).shed.toDouble() / maxOf(1, record.of(it).offered) },
        longestWait = names.map { record.of(it).longestWait / 1_000.0 },
        goodput = record.goodput,
        wasted = record.wastedShare,
        wastedBy = record.wastedBy.mapValues { it.value.toDouble() / record.producedTokens },
        lowestClassLongestGap = record.of(names.last()).longestGap(scenario.duration) / 1_000.0,
        smallOrganisationsServed = record.servedShareOfSmallOrganisations(names[FAIRNESS_TIER_INDEX]),
    )
}

/** Prints means over the seeds, with paired differences from the product's policy. */
internal class PolicyReport(
    private val product: List<RunFigures>,
    private val reference: List<RunFigures>,
    private val print: (String) -> Unit,
) {
    fun printHeader() {
        print("means over ${product.size} seeds; goodput as part of the reference planner on the same seed;")
        print(
            "small: requests of small organisations in tier 3 that finish in time; gap: longest without an end in tier 5;",
        )
        print("in brackets: mean paired difference to the product with its 95 % interval")
        print(
            "%-24s %-32s %-20s %-20s %7s %8s %s".format(
                Locale.ROOT,
                "policy",
                "attainment by tier, %",
                "goodput, %",
                "wasted, %",
                "gap, s",
                "small, %",
                " shed by tier, %; longest wait by tier, s",
            ),
        )
    }

    fun printRow(
        name: String,
        figures: List<RunFigures>,
    ) {
        val attainment = columns(figures) { it.attainment.map { part -> part * 100 } }
        val shed = columns(figures) { it.shed.map { part -> part * 100 } }
        val waits =
            figures
                .first()
                .longestWait.indices
                .map { tier -> figures.maxOf { it.longestWait[tier] } }
        val goodput = figures.indices.map { figures[it].goodput / reference[it].goodput * 100 }
        val productGoodput = product.indices.map { product[it].goodput / reference[it].goodput * 100 }
        print(
            "%-24s %-32s %-20s %-20s %7.0f %8.1f  %s; %s".format(
                Locale.ROOT,
                name,
                attainment.joinToString(" ") { oneDecimal(it) },
                oneDecimal(goodput.average()) + difference(goodput, productGoodput),
                oneDecimal(figures.map { it.wasted * 100 }.average()) +
                    difference(figures.map { it.wasted * 100 }, product.map { it.wasted * 100 }),
                figures.maxOf { it.lowestClassLongestGap },
                figures.map { it.smallOrganisationsServed * 100 }.average(),
                shed.joinToString(" ") { oneDecimal(it) },
                waits.joinToString(" ") { "%.0f".format(Locale.ROOT, it) },
            ),
        )
    }

    fun printTargets() {
        val top = product.minOf { it.attainment.first() } * 100
        val goodput = product.indices.map { product[it].goodput / reference[it].goodput * 100 }
        val wasted = product.map { it.wasted * 100 }
        printTarget("attainment of tier 1, worst seed", top, "at least 99 %", top >= 99.0)
        printTarget(
            "longest time without an end in the lowest class, s",
            product.maxOf { it.lowestClassLongestGap },
            "at most 600",
            product.maxOf { it.lowestClassLongestGap } <= 600,
        )
        printTarget(
            "goodput against the reference planner, mean",
            goodput.average(),
            "at least 95 %",
            goodput.average() >= 95.0,
        )
        printTarget(
            "goodput against the reference planner, worst seed",
            goodput.min(),
            "at least 95 %",
            goodput.min() >= 95.0,
        )
        printTarget("wasted work, mean", wasted.average(), "at most 2 %", wasted.average() <= 2.0)
        printTarget("wasted work, worst seed", wasted.max(), "at most 2 %", wasted.max() <= 2.0)
        val reasons = product.flatMap { it.wastedBy.keys }.distinct().sorted()
        for (reason in reasons) {
            print(
                "  wasted, $reason: %.2f %%".format(
                    Locale.ROOT,
                    product.map { (it.wastedBy[reason] ?: 0.0) * 100 }.average(),
                ),
            )
        }
    }

    private fun printTarget(
        figure: String,
        value: Double,
        target: String,
        met: Boolean,
    ) = print("%-52s %8.2f  target %-14s %s".format(Locale.ROOT, figure, value, target, if (met) "met" else "MISSED"))

    private fun columns(
        figures: List<RunFigures>,
        values: (RunFigures) -> List<Double>,
    ): List<Double> {
        val rows = figures.map(values)
        return rows.first().indices.map { column -> rows.map { it[column] }.average() }
    }

    private fun difference(
        values: List<Double>,
        base: List<Double>,
    ): String {
        val differences = values.zip(base) { value, other -> value - other }
        if (differences.all { it == 0.0 }) return ""
        val mean = differences.average()
        val variance = differences.sumOf { (it - mean) * (it - mean) } / maxOf(1, differences.size - 1)
        val halfWidth = TWO_SIDED_95_PERCENT_QUANTILE * kotlin.math.sqrt(variance / differences.size)
        return " (%+.1f±%.1f)".format(Locale.ROOT, mean, halfWidth)
    }

    private fun oneDecimal(value: Double): String = "%.1f".format(Locale.ROOT, value)
}

private const val TWO_SIDED_95_PERCENT_QUANTILE = 1.96

/** Index of the third tier. It shows fairness: it is overloaded, and its answers are short enough to finish often. */
private const val FAIRNESS_TIER_INDEX = 2
