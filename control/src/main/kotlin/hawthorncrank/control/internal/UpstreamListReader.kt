package hawthorncrank.control.internal

import hawthorncrank.common.EventLog
import hawthorncrank.control.UpstreamListSource
import hawthorncrank.protocol.ListedUpstream
import reactor.core.publisher.Mono
import java.time.Duration

/** Reads the platform's list of upstreams for the control thread. It reports every reading, also one that failed. */
internal class UpstreamListReader(
    private val source: UpstreamListSource,
    private val send: (ControlEvent) -> Unit,
    private val log: EventLog,
) {
    @Volatile private var failing = false

    fun read(askedAt: Long) {
        Mono
            .defer { source() }
            .timeout(TIME_LIMIT)
            .subscribe({ listed(askedAt, it) }, { failed(askedAt, it) }, { })
    }

    private fun listed(
        askedAt: Long,
        upstreams: List<ListedUpstream>,
    ) {
        if (failing) log.record(ControlEventCode.UPSTREAM_LIST_RESTORED, "upstreams" to upstreams.size)
        failing = false
        send(ControlEvent.UpstreamsListed(askedAt, upstreams))
    }

    private fun failed(
        askedAt: Long,
        failure: Throwable,
    ) {
        if (!failing) log.record(ControlEventCode.UPSTREAM_LIST_UNAVAILABLE, "error" to failure)
        failing = true
        send(ControlEvent.UpstreamsListed(askedAt, upstreams = null))
    }

    private companion object {
        val TIME_LIMIT: Duration = Duration.ofSeconds(3)
    }
}
