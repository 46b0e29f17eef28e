package hawthorncrank.control.internal

import hawthorncrank.control.DutyAnswer
import hawthorncrank.control.DutyHolder
import hawthorncrank.control.PlatformDuties
import reactor.core.publisher.Mono
import java.io.IOException
import java.time.Duration

/**
 * Makes the holder's calls, each once and within [timeLimit] milliseconds, and reports how each ended. [mayCall] is asked
 * on the calling thread and again by the adapter on the thread that writes, because either thread may have been
 * suspended since the decision.
 */
internal class DutyClient(
    private val platform: PlatformDuties,
    private val machine: String,
    private val timeLimit: Long,
    private val mayCall: (Long) -> Boolean,
    private val send: (ControlEvent) -> Unit,
) {
    fun call(call: DutyCall) {
        Mono
            .defer { if (mayCall(call.token)) answer(call) else Mono.error(IOException(TOO_LATE)) }
            .timeout(Duration.ofMillis(timeLimit))
            .map<DutyResult> { DutyResult.Answered(it) }
            .onErrorResume { Mono.just(DutyResult.Unanswered(it.message ?: it.javaClass.simpleName)) }
            .defaultIfEmpty(DutyResult.Unanswered("no status"))
            .subscribe { send(ControlEvent.DutyAnswered(call, it)) }
    }

    private fun answer(call: DutyCall): Mono<DutyAnswer> {
        val holder = DutyHolder(machine, call.token) { mayCall(call.token) }
        return when (call) {
            is DutyCall.Usage -> platform.reportUsage(holder, call.content)
            is DutyCall.Engines -> platform.orderEngines(holder, call.content)
        }
    }

    private companion object {
        const val TOO_LATE = "not sent, because the duties are lost or the contact with a majority is too old"
    }
}
