package hawthorncrank.load.internal

import hawthorncrank.load.Workload
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.BitmapEncoder.BitmapFormat
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.nio.file.Path

/** Draws the 95th percentile of the time to the first token, by class, against the scheduled send time. */
internal fun writeLatencyPlot(
    workload: Workload,
    results: List<RequestResult>,
    file: Path,
) {
    val chart: XYChart =
        XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("${workload.name}: first token, 95th percentile by class")
            .xAxisTitle("seconds since the start")
            .yAxisTitle("milliseconds")
            .build()
    chart.styler.isYAxisLogarithmic = true
    workload.classes.forEach { load ->
        val percentiles = percentilesBySecond(results.filter { it.planned.load.name == load.name })
        if (percentiles.isEmpty()) return@forEach
        val series = chart.addSeries(load.name, percentiles.keys.map { it.toDouble() }, percentiles.values.toList())
        series.marker = SeriesMarkers.NONE
    }
    if (chart.seriesMap.isEmpty()) return
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG)
}

private fun percentilesBySecond(results: List<RequestResult>): Map<Long, Double> =
    results
        .filter { it.firstToken != null }
        .groupBy { it.planned.time / NANOSECONDS_PER_SECOND }
        .toSortedMap()
        .mapValues { (_, inSecond) ->
            val sorted = inSecond.mapNotNull { it.firstToken }.sorted()
            sorted[((sorted.size - 1) * PERCENTILE).toInt()].coerceAtLeast(MINIMUM_PLOTTED_MILLISECONDS)
        }

private const val WIDTH = 1_000
private const val HEIGHT = 600
private const val PERCENTILE = 0.95
private const val MINIMUM_PLOTTED_MILLISECONDS = 0.1
private const val NANOSECONDS_PER_SECOND = 1_000_000_000L
