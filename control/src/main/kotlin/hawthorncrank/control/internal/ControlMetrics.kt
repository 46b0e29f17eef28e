package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaRole
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit

/** The metrics of a control replica, read from the newest state at each scrape. */
internal class ControlMetrics(
    private val state: () -> ProcessState,
    droppedRecords: () -> Long,
) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    init {
        gauge("term") { it.replica.term }
        gauge("leader") { if (it.replica.role == ReplicaRole.LEADER) 1 else 0 }
        gauge("committed_index") { it.replica.committedIndex }
        gauge("applied_index") { it.replica.appliedIndex }
        gauge("last_index") { it.replica.lastIndex }
        gauge("log_bytes") { it.replica.logBytes }
        gauge("snapshot_bytes") { it.replica.snapshotBytes }
        gauge("voters") { it.replica.membership.voters.size }
        gauge("waiting_replicas") { it.replica.waitingReplicas.size }
        gauge("awaits_admission") { if (it.replica.awaitsAdmission) 1 else 0 }
        gauge("configuration_version") { it.control.version }
        gauge("claims") { it.control.claims.size }
        gauge("convictions") { process -> process.control.convictions.count { !it.value.lifted } }
        gauge("suspects") { it.control.questionedSuspects().size }
        gauge("drains") { it.control.drains.size }
        gauge("pending_commands") { it.pending.size }
        gauge("usage_late_cells") { it.usage?.lateCells ?: 0 }
        gauge("usage_late_requests") { it.usage?.lateRequests ?: 0 }
        gauge("usage_waiting_cells") { it.usage?.waiting?.size ?: 0 }
        gauge("usage_undelivered_windows") { it.control.usage.undelivered }
        gauge("entries_linked") { it.entryLinks.size }
        gauge("duty_holder") { if (it.holdsDuties()) 1 else 0 }
        gauge("duty_token") { it.control.duties.token }
        gauge("slow_engines") { it.slowEngines.size }
        enginesOrdered("regular", reclaimable = false)
        enginesOrdered("reclaimable", reclaimable = true)
        Gauge.builder("hawthorncrank.log.records.dropped", droppedRecords).strongReference(true).register(registry)
        gauge("entries_behind") { process -> process.entryLinks.count { it.value.behindSince != null } }
    }

    fun measure(effect: ControlEffect.MeasureCommand) =
        Timer
            .builder("hawthorncrank.control.command")
            .description("time from a command's arrival here until it is applied here")
            .tag("kind", effect.kind)
            .publishPercentileHistogram()
            .register(registry)
            .record(effect.milliseconds, TimeUnit.MILLISECONDS)

    fun count(effect: ControlEffect.CountDutyCall) =
        Counter
            .builder("hawthorncrank.control.duty.calls")
            .description("calls to the platform that ended, by duty and result")
            .tag("duty", effect.duty)
            .tag("result", effect.result)
            .register(registry)
            .increment()

    fun scrape(): String = registry.scrape()

    /** The newest orders of all services and zones, whether or not the platform has carried them out. */
    private fun enginesOrdered(
        kind: String,
        reclaimable: Boolean,
    ) {
        val count = { state().control.engineCounts.ordered(reclaimable) }
        Gauge.builder("hawthorncrank.control.engines_ordered", count).tag("kind", kind).register(registry)
    }

    private fun gauge(
        name: String,
        read: (ProcessState) -> Number,
    ) {
        Gauge.builder("hawthorncrank.control.$name") { read(state()) }.register(registry)
    }
}
