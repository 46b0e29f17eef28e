package hawthorncrank.control.internal

import hawthorncrank.control.EngineReportSource
import reactor.core.publisher.Mono
import java.time.Duration

/** Reads the reports of engines for the control thread. It reports every reading, also one that failed. */
internal class EngineReportReader(
    private val source: EngineReportSource,
    private val send: (ControlEvent) -> Unit,
) {
    fun read(effect: ControlEffect.ReadEngineReport) {
        Mono
            .defer { source(effect.address) }
            .timeout(TIME_LIMIT)
            .subscribe(
                { send(ControlEvent.EngineReported(effect.engine, effect.askedAt, it)) },
                { send(ControlEvent.EngineReported(effect.engine, effect.askedAt, streams = null)) },
            )
    }

    private companion object {
        val TIME_LIMIT: Duration = Duration.ofSeconds(1)
    }
}
