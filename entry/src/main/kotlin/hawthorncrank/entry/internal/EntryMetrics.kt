package hawthorncrank.entry.internal

import hawthorncrank.entry.core.Measurement
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** The entry's metrics. The number of time series is bounded because class and organisation labels are limited. */
internal class EntryMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val classes = LabelLimiter(CLASS_LABELS)
    private val organisations = LabelLimiter(ORGANISATION_LABELS)
    private val queueLengths = ConcurrentHashMap<String, AtomicLong>()
    private val queueBytes = ConcurrentHashMap<String, AtomicLong>()
    private val leavingUpstreams = registry.gauge("hawthorncrank.upstreams.leaving", AtomicInteger())!!
    private val heldOffUpstreams = registry.gauge("hawthorncrank.upstreams.held.off", AtomicInteger())!!
    private val excludedUpstreams = registry.gauge("hawthorncrank.upstreams.excluded", AtomicInteger())!!
    private val warmingUpstreams = registry.gauge("hawthorncrank.upstreams.warming", AtomicInteger())!!
    private val suspensions = registry.counter("hawthorncrank.suspensions")
    private val controlDelay =
        Timer
            .builder("hawthorncrank.control.delay")
            .publishPercentileHistogram()
            .minimumExpectedValue(SHORTEST)
            .maximumExpectedValue(LONGEST)
            .register(registry)

    fun scrape(): String = registry.scrape()

    fun gauge(
        name: String,
        value: () -> Number,
    ) {
        Gauge.builder(name, value).strongReference(true).register(registry)
    }

    /** Records how long an event waited for the control thread. */
    fun recordControlDelay(milliseconds: Long) = controlDelay.record(Duration.ofMillis(milliseconds))

    fun record(measurement: Measurement) {
        when (measurement) {
            is Measurement.RequestEnded -> requestEnded(measurement)
            is Measurement.TokensWasted ->
                Counter
                    .builder("hawthorncrank.tokens.wasted")
                    .tag("class", classes.label(measurement.className))
                    .tag("reason", measurement.reason?.name?.lowercase() ?: "broken")
                    .register(registry)
                    .increment(measurement.tokens.toDouble())
            is Measurement.QueueLength -> {
                set(queueLengths, "hawthorncrank.queue.requests", measurement.className, measurement.requests.toLong())
                set(queueBytes, "hawthorncrank.queue.bytes", measurement.className, measurement.bytes)
            }
            is Measurement.UpstreamsWithoutWork -> {
                leavingUpstreams.set(measurement.leaving)
                heldOffUpstreams.set(measurement.heldOff)
                excludedUpstreams.set(measurement.excluded)
            }
            is Measurement.WarmingUpstreams -> warmingUpstreams.set(measurement.count)
            is Measurement.Suspended -> suspensions.increment()
            is Measurement.CrossRegionBytes ->
                Counter
                    .builder("hawthorncrank.region.bytes")
                    .tag("organisation", organisations.label(measurement.organisation))
                    .register(registry)
                    .increment(measurement.bytes.toDouble())
        }
    }

    private fun requestEnded(ended: Measurement.RequestEnded) {
        val className = classes.label(ended.className)
        val organisation = organisations.label(ended.organisation)
        Counter
            .builder("hawthorncrank.requests")
            .tag("class", className)
            .tag("result", ended.result.name.lowercase())
            .tag("attained", ended.targetsMet.toString())
            .register(registry)
            .increment()
        Counter
            .builder("hawthorncrank.tokens.delivered")
            .tag("class", className)
            .register(registry)
            .increment(ended.tokens.toDouble())
        time("hawthorncrank.wait", "class", className, ended.waited)
        ended.firstByte?.let {
            time("hawthorncrank.first.byte", "class", className, it)
            time("hawthorncrank.organisation.first.byte", "organisation", organisation, it)
        }
        time("hawthorncrank.total", "class", className, ended.total)
        time("hawthorncrank.organisation.total", "organisation", organisation, ended.total)
    }

    private fun time(
        name: String,
        label: String,
        value: String,
        milliseconds: Long,
    ) = Timer
        .builder(name)
        .tag(label, value)
        .publishPercentileHistogram()
        .minimumExpectedValue(SHORTEST)
        .maximumExpectedValue(LONGEST)
        .register(registry)
        .record(Duration.ofMillis(milliseconds))

    private fun set(
        values: ConcurrentHashMap<String, AtomicLong>,
        name: String,
        className: String,
        value: Long,
    ) {
        val label = classes.label(className)
        val gauge =
            values.computeIfAbsent(label) {
                AtomicLong().also { Gauge.builder(name, it::get).tag("class", label).register(registry) }
            }
        gauge.set(value)
    }

    companion object {
        const val CLASS_LABELS = 32
        const val ORGANISATION_LABELS = 100

        private val SHORTEST: Duration = Duration.ofMillis(1)
        private val LONGEST: Duration = Duration.ofHours(1)
    }
}
