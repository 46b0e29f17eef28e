package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.Measurement
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ZoneMessage

/** Passes an event to the feature that handles it, and then starts the queued requests that can start. */
internal fun Reduction.dispatch(event: EntryEvent) {
    when (event) {
        is EntryEvent.RequestArrived -> requestArrived(event.request)
        is EntryEvent.CallerLeft -> callerLeft(event.requestNumber)
        is EntryEvent.AnswerDelivered -> answerDelivered(event.requestNumber)
        is EntryEvent.AttemptFirstByte -> attemptFirstByte(event.attemptNumber, event.failed, event.accepted)
        is EntryEvent.AttemptProgress -> attemptProgress(event.attemptNumber, event.tokens, event.bytes)
        is EntryEvent.AttemptEnded -> attemptEnded(event.attemptNumber, event.end)
        is EntryEvent.LoadReported -> loadReported(event.upstream, event.report)
        is EntryEvent.CacheChanged -> cacheChanged(event.upstream, event.change)
        is EntryEvent.MembershipReported -> membershipReported(event.live, event.leaving)
        is EntryEvent.UpstreamsListed -> upstreamsListed(withKnownSlowdowns(event.upstreams), now)
        is EntryEvent.UpstreamAnnouncedLeaving -> leavingAnnounced(event.upstream, event.address)
        is EntryEvent.ProbeAnswered ->
            if (asksAboutCrash(event.upstream)) {
                crashProbeAnswered(event.upstream, event.reachable)
            } else {
                probeAnswered(event.upstream, event.reachable)
            }
        is EntryEvent.ControlMessageReceived -> controlMessageReceived(event.message)
        is EntryEvent.ZoneMessageReceived -> zoneMessageReceived(event.message)
        EntryEvent.ControlLinkOpened -> controlLinkOpened()
        EntryEvent.ControlLinkClosed -> state = state.copy(controlLink = state.controlLink.copy(open = false))
        EntryEvent.StopRequested -> stopRequested()
        is EntryEvent.MachineSuspended -> machineSuspended(event.milliseconds)
        EntryEvent.Tick -> tick()
    }
    updateEligibility()
    if (event !is EntryEvent.AttemptProgress && event !is EntryEvent.AttemptFirstByte) startQueuedRequests()
    refuseQueuedBehindHolds()
    reportReadiness()
    refuseQueuedBeforeKill()
    closeIdleConnectionsWhenRefusing()
    terminateWhenIdle()
}

private fun Reduction.controlMessageReceived(message: ControlToEntry) {
    when (message) {
        is ControlToEntry.ConfigurationUpdate -> stage(message.version, message.configuration, message.confirmed)
        is ControlToEntry.ConfigurationChange -> stageChange(message.delta, message.confirmed)
        is ControlToEntry.ConfigurationConfirmed -> configurationConfirmed(message)
        is ControlToEntry.UpstreamList -> upstreamListReceived(message)
        is ControlToEntry.StreamFound -> streamFound(message)
        is ControlToEntry.RelayList -> relaysListed(message)
        is ControlToEntry.ClaimAnswer -> claimAnswered(message)
        is ControlToEntry.OutcomeRecorded -> outcomeRecorded(message.claimNumber)
        is ControlToEntry.ClaimAbandoned -> claimAbandoned(message.attemptIdentifier)
        is ControlToEntry.ConvictionUpdate -> convictionsUpdated(message)
        is ControlToEntry.SuspicionUpdate -> suspicionsUpdated(message)
        is ControlToEntry.DrainUpdate -> drainsUpdated(message)
        ControlToEntry.EngineDemandWanted -> engineDemandWanted()
        is ControlToEntry.UsageWanted -> usageWanted(message)
        is ControlToEntry.UsageTime -> usageTimeAnswered(message)
        is ControlToEntry.UsageRecorded -> usageRecorded(message)
        is ControlToEntry.ExplainQuestion -> answerExplainQuestion(message)
    }
}

private fun Reduction.zoneMessageReceived(message: ZoneMessage) {
    updateLastMessage(message)
    when (message) {
        is ZoneMessage.StagedNotice -> stagedNoticeReceived(message)
        is ZoneMessage.ConfigurationQuestion -> configurationAsked(message)
        is ZoneMessage.ConfigurationAnswer -> configurationAnswered(message)
        is ZoneMessage.SuspectNotice -> suspectNoticed(message)
        is ZoneMessage.LeavingNotice -> leavingNoticed(message)
    }
}

private fun Reduction.controlLinkOpened() {
    state = state.copy(controlLink = ControlLink(open = true, number = state.controlLink.number + 1))
    usageLinkOpened()
    engineDemandLinkOpened()
    sendHello()
    requestConfirmation()
    requestUpstreamList()
    resendClaims()
    reportStreamsAgain()
    reportConvictionsAgain()
    repeatRefutations()
    sendCrashReports()
}

private fun Reduction.tick() {
    zoneTick()
    configurationTick()
    confirmationTick()
    claimsTick()
    attemptsTick()
    requestsTick()
    membershipTick()
    relaysTick()
    streamsTick()
    upstreamListTick()
    suspectsTick()
    usageTick()
    engineDemandTick()
    sendStatus()
    measureState()
}

private fun Reduction.sendStatus() {
    if (!state.controlLink.open || now - state.statusSentAt < STATUS_INTERVAL_MILLISECONDS) return
    state = state.copy(statusSentAt = now)
    val status =
        EntryToControl.EntryStatus(
            entry = settings.name,
            availabilityZone = settings.availabilityZone,
            appliedVersion = state.configuration.version,
            queued =
                state.requests.active.values
                    .count { it.waiting },
            inFlight = state.attempts.running.size,
            ready = state.ready,
        )
    emit(EntryEffect.SendToControl(status))
}

private fun Reduction.measureState() {
    if (now - state.measuredAt < MEASUREMENT_INTERVAL_MILLISECONDS) return
    state = state.copy(measuredAt = now)
    measureUpstreams()
    recordWarmUps()
    state.configuration.configuration.classes.forEach { trafficClass ->
        val length = state.scheduler.view.queuedOf(trafficClass.name)
        val measurement = Measurement.QueueLength(trafficClass.name, length.requests, length.bytes)
        emit(EntryEffect.Measure(measurement))
    }
}

private const val STATUS_INTERVAL_MILLISECONDS = 2_000L
private const val MEASUREMENT_INTERVAL_MILLISECONDS = 1_000L
