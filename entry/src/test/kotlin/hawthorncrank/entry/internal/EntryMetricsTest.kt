package hawthorncrank.entry.internal

import hawthorncrank.entry.core.Measurement
import hawthorncrank.entry.core.RequestResult
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class EntryMetricsTest {
    /** Guards against one time series per organisation when there are 12,000 organisations. */
    @Test
    fun `organisations beyond the limit share one label`() {
        val metrics = EntryMetrics()
        repeat(1_000) { number ->
            metrics.record(
                Measurement.RequestEnded("o$number", "quick", RequestResult.COMPLETED, 1, 20, 30, 4, targetsMet = true),
            )
        }
        val text = metrics.scrape()
        val labels = Regex("""organisation="([^"]+)"""").findAll(text).map { it.groupValues[1] }.toSet()
        assertEquals(EntryMetrics.ORGANISATION_LABELS + 1, labels.size)
        assertContains(text, "hawthorncrank_organisation_total_seconds_count{organisation=\"other\"} 900")
        assertContains(
            text,
            "hawthorncrank_requests_total{attained=\"true\",class=\"quick\",result=\"completed\"} 1000.0",
        )
    }

    @Test
    fun `upstreams without work and suspensions are shown`() {
        val metrics = EntryMetrics()
        metrics.record(Measurement.UpstreamsWithoutWork(leaving = 1, heldOff = 2, excluded = 3))
        metrics.record(Measurement.WarmingUpstreams(4))
        repeat(2) { metrics.record(Measurement.Suspended) }
        val text = metrics.scrape()
        assertContains(text, "hawthorncrank_upstreams_leaving 1.0")
        assertContains(text, "hawthorncrank_upstreams_held_off 2.0")
        assertContains(text, "hawthorncrank_upstreams_excluded 3.0")
        assertContains(text, "hawthorncrank_upstreams_warming 4.0")
        assertContains(text, "hawthorncrank_suspensions_total 2.0")
    }
}
