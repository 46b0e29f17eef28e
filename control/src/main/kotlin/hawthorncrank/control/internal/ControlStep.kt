package hawthorncrank.control.internal

import hawthorncrank.common.EventCode
import hawthorncrank.common.Reducer
import hawthorncrank.common.Transition
import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.ReplicaState
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorResponse
import hawthorncrank.protocol.WireMessage
import kotlinx.collections.immutable.toPersistentList

/** The reducer of the consensus replica. It is a parameter, so that tests can replace it by a fake. */
internal typealias ReplicaReducer = Reducer<ReplicaState, ReplicaEvent, ReplicaEffect>

/** Creates the reducer of a control process for all its events. */
internal fun controlReducer(replica: ReplicaReducer): Reducer<ProcessState, ControlEvent, ControlEffect> =
    Reducer { state, event, now ->
        val step = ControlStep(replica, state, now)
        step.handle(event)
        step.finish()
    }

/** Processes the effects that a replica emits right after its start. */
internal fun startedProcess(
    replica: ReplicaReducer,
    state: ProcessState,
    effects: List<ReplicaEffect>,
    now: Long,
): Transition<ProcessState, ControlEffect> {
    val step = ControlStep(replica, state, now)
    effects.forEach(step::carryOut)
    return step.finish()
}

/**
 * One reduction in progress. Events for the replica are queued until the effects of the previous event are processed,
 * so that persist effects keep the order in which the replica emitted them.
 */
internal class ControlStep(
    private val replicaReducer: ReplicaReducer,
    var state: ProcessState,
    val now: Long,
) {
    private val effects = ArrayList<ControlEffect>()
    private val replicaEvents = ArrayDeque<ReplicaEvent>()

    val wallTime: Long get() = now + state.wallOffset

    fun emit(effect: ControlEffect) {
        effects += effect
    }

    fun send(
        link: Long,
        message: WireMessage,
    ) = emit(ControlEffect.SendToLink(link, message))

    fun answer(
        requester: Requester.Operator,
        answer: OperatorAnswer,
    ) = send(requester.link, OperatorResponse(requester.number, answer))

    fun record(
        event: EventCode,
        vararg fields: Pair<String, Any?>,
    ) = emit(ControlEffect.Record(event, mapOf(*fields)))

    fun queueReplicaEvent(event: ReplicaEvent) {
        replicaEvents += event
    }

    fun ticket(use: TicketUse): Long {
        val ticket = state.nextTicket
        state = state.copy(nextTicket = ticket + 1, tickets = state.tickets.put(ticket, use))
        return ticket
    }

    fun finish(): Transition<ProcessState, ControlEffect> {
        while (replicaEvents.isNotEmpty()) {
            val transition = replicaReducer.reduce(state.replica, replicaEvents.removeFirst(), now)
            state = state.copy(replica = transition.state)
            transition.effects.forEach(::carryOut)
        }
        reportReadyToStop()
        return Transition(state, effects.toPersistentList())
    }

    private fun reportReadyToStop() {
        if (!state.leaving || state.replica.handingOver) return
        state = state.copy(leaving = false)
        emit(ControlEffect.ReadyToStop)
    }
}

internal fun ControlStep.handle(event: ControlEvent) {
    when (event) {
        is ControlEvent.Replica -> queueReplicaEvent(event.event)
        is ControlEvent.EntryMessage -> entryMessage(event)
        is ControlEvent.StreamNoticed -> noteStream(event.notice.stream, event.notice.software)
        is ControlEvent.OperatorMessage -> operatorMessage(event)
        is ControlEvent.LinkClosed -> linkClosed(event.link)
        is ControlEvent.OrderAnswered -> orderAnswered(event)
        is ControlEvent.DutyAnswered -> dutyAnswered(event)
        is ControlEvent.UpstreamsListed -> upstreamsListed(event)
        is ControlEvent.EngineReported -> engineReported(event)
        is ControlEvent.Tick -> tick(event)
        ControlEvent.Leave -> leave()
        ControlEvent.Stop -> stop()
    }
}

private fun ControlStep.tick(event: ControlEvent.Tick) {
    state = state.copy(wallOffset = event.wallTime - now)
    queueReplicaEvent(ReplicaEvent.Tick)
    retryProposals()
    startConfirmation()
    expireExplanations()
    judgeSuspects()
    closeLinksWithoutLeader()
    readEngineReports()
    readUpstreamList()
    usageTick()
    engineDemandTick()
    tickDuties()
    if (now < state.nextDutiesAt) return
    state = state.copy(nextDutiesAt = now + DUTY_INTERVAL_MILLISECONDS)
    reportLostEntries()
    reportEntriesAgain()
    measureLag()
    leaderDuties()
}

private fun ControlStep.leave() {
    state = state.copy(leaving = true)
    resignDuties()
    queueReplicaEvent(ReplicaEvent.Leave)
}

private fun ControlStep.stop() {
    state = state.copy(stopping = true)
    record(ControlEventCode.STOPPING, "term" to state.replica.term, "role" to state.replica.role)
    queueReplicaEvent(ReplicaEvent.Stop)
}

private const val DUTY_INTERVAL_MILLISECONDS = 500L
