package hawthorncrank.entry.internal

import hawthorncrank.common.EventLog
import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.StatedOutcome
import hawthorncrank.protocol.EntryToControl

/** Executes the effects that the control thread decided on. Nothing here blocks. */
internal class EffectExecutor(
    private val activeExchanges: ActiveExchanges,
    private val links: EntryLinks,
    private val polls: UpstreamPolls,
    private val metrics: EntryMetrics,
    private val log: EventLog,
    private val refusals: RefusalFormat,
    private val applyConfiguration: (ConfigurationView) -> Unit,
    private val setReadiness: (Readiness) -> Unit,
    private val pollUpstreamList: (Boolean) -> Unit,
    private val closeIdleConnections: () -> Unit,
    private val terminate: () -> Unit,
    private val wallTime: () -> Long,
) {
    fun execute(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.StartAttempt -> start(effect)
            is EntryEffect.CancelAttempt -> activeExchanges.cancel(effect.attemptNumber)
            is EntryEffect.ReleaseAnswer -> activeExchanges.exchange(effect.requestNumber)?.release(effect.recorded)
            is EntryEffect.ReadRequestAgain -> activeExchanges.exchange(effect.requestNumber)?.readAgain()
            is EntryEffect.RefuseCaller ->
                activeExchanges
                    .exchange(
                        effect.requestNumber,
                    )?.refuse(refusals.refusal(effect.refusal), effect.refusal.problem)
            is EntryEffect.ReplayAnswer -> activeExchanges.exchange(effect.requestNumber)?.replay(replayed(effect))
            is EntryEffect.AbortStream -> activeExchanges.exchange(effect.requestNumber)?.breakStream(effect.reason)
            is EntryEffect.SendToControl -> links.sendToControl(stamped(effect.message))
            is EntryEffect.SendToZone -> links.sendToZone(effect.message, effect.recipient)
            is EntryEffect.PollUpstreamList -> pollUpstreamList(effect.enabled)
            is EntryEffect.ProbeUpstream -> polls.probe(effect.upstream, effect.address)
            is EntryEffect.ConfigurationApplied -> apply(effect)
            is EntryEffect.ReadinessChanged -> ready(Readiness(effect.ready, effect.reason))
            EntryEffect.CloseIdleConnections -> closeIdleConnections()
            EntryEffect.Terminate -> terminate()
            is EntryEffect.RecordEvent -> log.record(effect.event, effect.fields)
            is EntryEffect.Measure -> metrics.record(effect.measurement)
        }
    }

    // The time of day is no input of the entry's decisions; control compares that of many machines.
    private fun stamped(message: EntryToControl): EntryToControl =
        if (message is EntryToControl.UsageCounts) message.copy(wallTime = wallTime()) else message

    // If the caller has disconnected, its exchange is gone and the attempt ends before anything is sent.
    private fun start(effect: EntryEffect.StartAttempt) {
        val exchange = activeExchanges.exchange(effect.requestNumber)
        if (exchange == null) {
            activeExchanges.report(EntryEvent.AttemptEnded(effect.attemptNumber, AttemptEnd.NotConnected))
        } else {
            exchange.start(effect)
        }
    }

    private fun apply(effect: EntryEffect.ConfigurationApplied) {
        applyConfiguration(ConfigurationView(effect.version, effect.configuration))
        log.record(EntryEventCode.CONFIGURATION_APPLIED, "version" to effect.version)
    }

    private fun ready(readiness: Readiness) {
        setReadiness(readiness)
        val event = if (readiness.ready) EntryEventCode.READY else EntryEventCode.NOT_READY
        log.record(event, "reason" to readiness.reason)
    }

    private fun replayed(effect: EntryEffect.ReplayAnswer): CallerAnswer.Complete {
        val headers = listOf(CONTENT_TYPE to effect.contentType, OUTCOME_HEADER to StatedOutcome.RAN.headerValue)
        return CallerAnswer.Complete(effect.status, headers, effect.body ?: ByteArray(0))
    }
}
