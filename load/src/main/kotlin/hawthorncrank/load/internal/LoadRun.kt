package hawthorncrank.load.internal

import hawthorncrank.common.EventLog
import hawthorncrank.load.Workload
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport

/**
 * Sends a schedule without waiting for answers (an open-loop load), so that a slow system does not reduce the load that
 * it is measured under. Requests beyond the in-flight limit count as not sent, and requests without a result when the
 * drain time ends count as unfinished.
 */
internal class LoadRun(
    private val workload: Workload,
    private val log: EventLog,
    private val progress: (String) -> Unit,
) {
    private val results = ConcurrentLinkedQueue<RequestResult>()
    private val inFlight = ConcurrentHashMap.newKeySet<PlannedRequest>()
    private val sent = AtomicInteger()
    private val started = System.nanoTime()

    fun run(): List<RequestResult> {
        val planned = schedule(workload)
        log.record(LoadEventCode.STARTED, "workload" to workload.name, "requests" to planned.size)
        val progressReports = Flux.interval(PROGRESS_INTERVAL).subscribe { progress(progressLine()) }
        val runName = "${workload.name}-${System.currentTimeMillis()}"
        Caller(workload.model, runName, workload.maximumInFlight, System::nanoTime).use { caller ->
            val pendingCalls = planned.mapNotNull { request -> dispatch(caller, request) }
            Mono
                .whenDelayError(pendingCalls)
                .timeout(Duration.ofMillis(workload.drainTime.value))
                .onErrorComplete()
                .block()
            inFlight.toList().forEach { finish(it, resultWithoutAnswer(it, Ending.UNFINISHED)) }
        }
        progressReports.dispose()
        progress(progressLine())
        log.record(LoadEventCode.ENDED, "workload" to workload.name, "results" to results.size)
        return results.toList()
    }

    private fun dispatch(
        caller: Caller,
        request: PlannedRequest,
    ): Mono<RequestResult>? {
        val intended = started + request.time
        while (System.nanoTime() < intended) LockSupport.parkNanos(intended - System.nanoTime())
        if (inFlight.size >= workload.maximumInFlight) {
            log.record(LoadEventCode.NOT_SENT, "request" to request.number)
            results += resultWithoutAnswer(request, Ending.NOT_SENT)
            return null
        }
        inFlight += request
        sent.incrementAndGet()
        val call = caller.call(request, intended).doOnNext { finish(request, it) }.cache()
        call.subscribe({}, { finish(request, resultWithoutAnswer(request, Ending.INTERRUPTED)) })
        return call
    }

    private fun finish(
        request: PlannedRequest,
        result: RequestResult,
    ) {
        if (!inFlight.remove(request)) return
        results += result
        if (result.ending == Ending.WRONG) {
            val entry = request.entry
            log.record(
                LoadEventCode.WRONG_ANSWER,
                "request" to request.number,
                "entry" to entry,
                "status" to result.status,
            )
        }
    }

    private fun resultWithoutAnswer(
        request: PlannedRequest,
        ending: Ending,
    ) = RequestResult(
        planned = request,
        ending = ending,
        status = null,
        firstToken = null,
        total = (System.nanoTime() - started - request.time) / NANOSECONDS_PER_MILLISECOND,
        tokenIntervals = emptyList(),
        sends = 0,
    )

    private fun progressLine(): String {
        val counts = results.groupingBy { it.ending }.eachCount()
        val endings = Ending.entries.filter { it in counts }.joinToString { "${it.text} ${counts[it]}" }
        val seconds = (System.nanoTime() - started) / NANOSECONDS_PER_SECOND
        return "$seconds s: sent ${sent.get()}, in flight ${inFlight.size}" +
            if (endings.isEmpty()) "" else ", $endings"
    }

    private companion object {
        val PROGRESS_INTERVAL: Duration = Duration.ofSeconds(1)
        const val NANOSECONDS_PER_MILLISECOND = 1e6
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    }
}
