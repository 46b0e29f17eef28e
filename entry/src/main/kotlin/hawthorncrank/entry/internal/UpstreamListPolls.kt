package hawthorncrank.entry.internal

import hawthorncrank.common.EventLog
import hawthorncrank.entry.UpstreamListing
import hawthorncrank.entry.core.EntryEvent
import reactor.core.Disposable
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import java.time.Duration

/** Asks the platform for its list of upstreams again and again. A list that does not come leaves the last one in force. */
internal class UpstreamListPolls(
    private val listing: UpstreamListing,
    private val send: (EntryEvent) -> Unit,
    private val log: EventLog,
) : AutoCloseable {
    private var ticks: Disposable? = null

    @Volatile private var listed = false

    @Volatile private var failing = false

    fun start() {
        ticks =
            Flux
                .interval(Duration.ZERO, FIRST_INTERVAL)
                .onBackpressureDrop()
                .filter { !listed || it % POLLS_PER_INTERVAL == 0L }
                .concatMap({ ask() }, 1)
                .subscribe()
    }

    private fun ask(): Mono<Void> =
        listing()
            .doOnNext {
                listed = true
                regained(it.size)
                send(EntryEvent.UpstreamsListed(it))
            }.doOnError { lost(it) }
            .onErrorComplete()
            .then()

    private fun lost(failure: Throwable) {
        if (!failing) log.record(EntryEventCode.LIST_LOST, "listed_before" to listed, "error" to failure)
        failing = true
    }

    private fun regained(upstreams: Int) {
        if (failing) log.record(EntryEventCode.LIST_REGAINED, "upstreams" to upstreams)
        failing = false
    }

    override fun close() {
        ticks?.dispose()
    }

    private companion object {
        // An entry without a list can serve nothing, so it asks more often until it has the first one.
        val FIRST_INTERVAL: Duration = Duration.ofMillis(500)

        // 1 s: of the 4 s in which a leaving upstream must get no new work, the list itself lags by 0.8 s.
        const val POLLS_PER_INTERVAL = 2L
    }
}
