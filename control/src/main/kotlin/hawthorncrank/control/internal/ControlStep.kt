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

/** The replica's decisions as a function, so that tests can put a fake in their place. */
internal typealias ReplicaDecisions = Reducer<ReplicaState, ReplicaEvent, ReplicaEffect>

/** Creates the decision core of a control process over all its events. */
internal fun controlReducer(replica: ReplicaDecisions): Reducer<ProcessState, ControlEvent, ControlEffect> =
    Reducer { state, event, now ->
        val step = ControlStep(replica, state, now)
        step.handle(event)
        step.finish()
    }

/** Carries out what a replica asks for right after its start. */
internal fun startedProcess(
    replica: ReplicaDecisions,
    state: ProcessState,
    effects: List<ReplicaEffect>,
    now: Long,
): Transition<ProcessState, ControlEffect> {
    val step = ControlStep(replica, state, now)
    effects.forEach(step::carryOut)
    return step.finish()
}

/**
 * One reduction under way. Events for the replica wait until the effects of the one before are carried out, so that
 * persist effects keep the order in which the replica emitted them.
 */
internal class ControlStep(
    private val decisions: ReplicaDecisions,
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

    fun toReplica(event: ReplicaEvent) {
        replicaEvents += event
    }

    fun ticket(use: TicketUse): Long {
        val ticket = state.nextTicket
        state = state.copy(nextTicket = ticket + 1, tickets = state.tickets.put(ticket, use))
        return ticket
    }

    fun finish(): Transition<ProcessState, ControlEffect> {
        while (replicaEvents.isNotEmpty()) {
            val transition = decisions.reduce(state.replica, replicaEvents.removeFirst(), now)
            state = state.copy(replica = transition.state)
            transition.effects.forEach(::carryOut)
        }
        return Transition(state, effects.toPersistentList())
    }
}

internal fun ControlStep.handle(event: ControlEvent) {
    when (event) {
        is ControlEvent.Replica -> toReplica(event.event)
        is ControlEvent.EntryMessage -> entryMessage(event)
        is ControlEvent.OperatorMessage -> operatorMessage(event)
        is ControlEvent.LinkClosed -> linkClosed(event.link)
        is ControlEvent.OrderAnswered -> orderAnswered(event)
        is ControlEvent.Tick -> tick(event)
        ControlEvent.Stop -> stop()
    }
}

private fun ControlStep.tick(event: ControlEvent.Tick) {
    state = state.copy(wallOffset = event.wallTime - now)
    toReplica(ReplicaEvent.Tick)
    proposeAgain()
    startConfirmation()
    expireQuestions()
    if (now < state.dutiesAt) return
    state = state.copy(dutiesAt = now + DUTY_INTERVAL_MILLISECONDS)
    releaseEntries()
    reportLostEntries()
    measureLag()
    leaderDuties()
}

private fun ControlStep.stop() {
    state = state.copy(stopping = true)
    record(ControlEventCode.STOPPING, "term" to state.replica.term, "role" to state.replica.role)
    toReplica(ReplicaEvent.Stop)
}

private const val DUTY_INTERVAL_MILLISECONDS = 500L
