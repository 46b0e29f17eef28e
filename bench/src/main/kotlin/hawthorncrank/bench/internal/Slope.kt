package hawthorncrank.bench.internal

import java.util.Locale

/** Values of one figure at growing sizes, with a least-squares line fitted through them. */
internal class Slope(
    val figure: String,
    private val points: List<Pair<Int, Double>>,
) {
    private val meanSize = points.map { it.first.toDouble() }.average()
    private val meanValue = points.map { it.second }.average()
    val perUnit: Double =
        points.sumOf { (size, value) -> (size - meanSize) * (value - meanValue) } /
            points.sumOf { (size, _) -> (size - meanSize) * (size - meanSize) }

    fun at(size: Int): Double = meanValue + perUnit * (size - meanSize)

    fun describe(size: Int): String =
        "%-34s %s  slope %.4g, at %d: %.4g".format(
            Locale.ROOT,
            figure,
            points.joinToString("  ") { (at, value) -> "%d: %.4g".format(Locale.ROOT, at, value) },
            perUnit,
            size,
            at(size),
        )
}
