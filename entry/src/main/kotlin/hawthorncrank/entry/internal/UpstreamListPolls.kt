package hawthorncrank.entry.internal

import hawthorncrank.common.EventLog
import hawthorncrank.entry.UpstreamListing
import hawthorncrank.entry.core.EntryEvent
import reactor.core.Disposable
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler
import reactor.core.scheduler.Schedulers
import java.time.Duration

/** Polls the platform for its list of upstreams while [enabled]. If a poll fails, the last list stays in effect. */
internal class UpstreamListPolls(
    private val listing: UpstreamListing,
    private val send: (EntryEvent) -> Unit,
    private val log: EventLog,
    private val scheduler: Scheduler = Schedulers.parallel(),
) : AutoCloseable {
    @Volatile var enabled = false
    private var ticks: Disposable? = null

    @Volatile private var listed = false

    @Volatile private var failing = false

    fun start() {
        ticks =
            Flux
                .interval(Duration.ZERO, TICK_INTERVAL, scheduler)
                .onBackpressureDrop()
                .filter { enabled && (!listed || it % TICKS_PER_POLL == 0L) }
                .concatMap({ ask() }, 1)
                .subscribe()
    }

    private fun ask(): Mono<Void> =
        Mono
            .defer { listing() }
            .timeout(POLL_TIME_LIMIT, scheduler)
            .doOnNext {
                listed = true
                recordRecovery(it.size)
                send(EntryEvent.UpstreamsListed(it))
            }.doOnError { recordFailure(it) }
            .onErrorComplete()
            .then()

    private fun recordFailure(failure: Throwable) {
        if (!failing) {
            log.record(
                EntryEventCode.UPSTREAM_LIST_UNAVAILABLE,
                "listed_before" to listed,
                "error" to failure,
            )
        }
        failing = true
    }

    private fun recordRecovery(upstreams: Int) {
        if (failing) log.record(EntryEventCode.UPSTREAM_LIST_RESTORED, "upstreams" to upstreams)
        failing = false
    }

    override fun close() {
        ticks?.dispose()
    }

    private companion object {
        // Polls run one at a time, so one that never ends would be the last.
        val POLL_TIME_LIMIT: Duration = Duration.ofSeconds(3)

        // An entry without a list cannot serve requests, so it polls on every tick until it has the first list.
        val TICK_INTERVAL: Duration = Duration.ofMillis(500)

        // One poll per 1 s: a leaving upstream must get no new work after 4 s, and the list's lag takes 0.8 s of these.
        const val TICKS_PER_POLL = 2L
    }
}
