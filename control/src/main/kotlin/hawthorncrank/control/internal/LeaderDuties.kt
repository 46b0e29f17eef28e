package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaRole
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.Duty
import hawthorncrank.control.LOAD_TOKEN_THOUSANDTHS
import hawthorncrank.control.OrderRecord
import hawthorncrank.control.OrderStatus
import hawthorncrank.control.PlanStatus
import hawthorncrank.protocol.EngineOrder

/**
 * The periodic tasks of the leader: reverts timed plans that have ended, advances the replicated clock, sends orders to
 * engines, and performs the duties at the platform.
 */
internal fun ControlStep.leaderDuties() {
    val leaderSince = state.leaderSince ?: return
    if (state.stopping || state.replica.role != ReplicaRole.LEADER) return
    revertEndedPlans()
    advanceClock()
    if (now - leaderSince >= ORDER_PAUSE_MILLISECONDS) sendOrders()
    recordSlowEngines()
    if (holdsDuties()) performDuties()
}

/** What is decided for the platform while this replica holds the duties. Calls follow from what was committed. */
private fun ControlStep.performDuties() {
    if (holdsDuty(Duty.AUTOSCALE)) planEngineCounts()
    startDutyCalls()
}

internal fun ControlStep.judgeSuspects() {
    if (state.stopping || state.replica.role != ReplicaRole.LEADER) return
    if (state.control.convictableSuspect(state.clock(now)) == null) return
    proposeOwn("judge", ControlOperation.JudgeSuspects)
}

private fun ControlStep.revertEndedPlans() {
    state.control.plans
        .filterValues { it.status == PlanStatus.CONFIRMED && (it.returnsAtWallTime ?: Long.MAX_VALUE) <= wallTime }
        .keys
        .forEach { number ->
            if ("return/$number" in state.pending) return@forEach
            record(ControlEventCode.PLAN_RETURNED, "plan" to number)
            proposeOwn("return/$number", ControlOperation.ReturnPlan(number))
        }
}

private fun ControlStep.advanceClock() {
    val control = state.control
    val hasExpiring =
        control.finishedClaims.isNotEmpty() || control.convictions.isNotEmpty() || control.claims.isNotEmpty()
    if (!hasExpiring || state.clock(now) - control.clock < CLOCK_INTERVAL_MILLISECONDS) return
    proposeOwn("clock", ControlOperation.AdvanceClock)
}

/**
 * Requests fencing numbers of this term for pending orders, for one model load at a time as the weight store has
 * tokens, and posts the orders that have one.
 */
private fun ControlStep.sendOrders() {
    val term = state.replica.term
    val pending = state.control.orders.filterValues { it.isPending }
    pending.filterValues { it.fencing?.term != term }.let(::issueOrders)
    if (orderExpiry(state, term, now, wallTime) == null) return
    pending
        .filterValues { it.fencing?.term == term && it.status == OrderStatus.ISSUED }
        .forEach { (upstream, record) -> post(upstream, record) }
}

/**
 * The wall time at which an order that is posted now expires, or null when none may be posted because the replica does
 * not lead [term] or its last contact with a majority is too old. An order expires at the latest one order lifetime
 * after that contact.
 */
internal fun orderExpiry(
    state: ProcessState,
    term: Long,
    now: Long,
    wallTime: Long,
): Long? {
    val replica = state.replica
    val contact = replica.majorityContactAt?.takeIf { replica.role == ReplicaRole.LEADER && replica.term == term }
    val lifetime = ORDER_LIFETIME_MILLISECONDS - (now - (contact ?: return null))
    return if (lifetime < MINIMUM_ORDER_LIFETIME_MILLISECONDS) null else wallTime + lifetime
}

private fun ControlStep.issueOrders(orders: Map<String, OrderRecord>) {
    val (loads, others) = orders.entries.partition { it.value.order is EngineOrder.LoadModel && !it.value.holdsToken }
    others.forEach { (upstream, _) -> issue(upstream) }
    val hasToken = state.control.copy(clock = state.clock(now)).availableTokens() >= LOAD_TOKEN_THOUSANDTHS
    if (hasToken) loads.minByOrNull { it.value.requestedAt }?.let { issue(it.key) }
}

private fun ControlStep.issue(upstream: String) =
    proposeOwn("issue/$upstream/${state.replica.term}", ControlOperation.IssueOrder(upstream))

private fun ControlStep.post(
    upstream: String,
    record: OrderRecord,
) {
    val fencing = record.fencing ?: return
    val known = state.orderAttempts[upstream]?.takeIf { it.fencing == fencing }
    if (known != null && (known.inFlight || now < known.retryAt)) return
    val address =
        state.control.configuration.upstreams
            .find { it.name == upstream }
            ?.address ?: return proposeEnd(upstream, record, succeeded = false, "the engine is no longer configured")
    val attempt = known?.copy(inFlight = true) ?: OrderAttempt(fencing, firstAt = now, inFlight = true)
    state = state.copy(orderAttempts = state.orderAttempts.put(upstream, attempt))
    record(ControlEventCode.ORDER_POSTED, "upstream" to upstream, "fencing" to fencing, "order" to record.order.words())
    emit(ControlEffect.PostOrder(upstream, address, record.order, fencing))
}

/** An engine that is unreachable gets the order again for a limited time; repeated refusals end the order. */
internal fun ControlStep.orderAnswered(event: ControlEvent.OrderAnswered) {
    val attempt = state.orderAttempts[event.upstream]?.takeIf { it.fencing == event.fencing } ?: return
    val record = state.control.orders[event.upstream]?.takeIf { it.fencing == event.fencing } ?: return
    val next = attempt.copy(inFlight = false, retryAt = now + ORDER_RETRY_MILLISECONDS)
    when (val answer = event.answer) {
        OrderAnswer.CarriedOut -> proposeEnd(event.upstream, record, succeeded = true, "carried out")
        is OrderAnswer.Refused -> {
            if (next.refusals + 1 >= ORDER_REFUSALS) return proposeEnd(event.upstream, record, false, answer.detail)
            storeAttempt(event.upstream, next.copy(refusals = next.refusals + 1))
        }
        is OrderAnswer.Unreachable -> {
            if (now - next.firstAt >=
                ORDER_UNREACHABLE_MILLISECONDS
            ) {
                return proposeEnd(event.upstream, record, false, answer.detail)
            }
            storeAttempt(event.upstream, next)
        }
    }
}

private fun ControlStep.storeAttempt(
    upstream: String,
    attempt: OrderAttempt,
) {
    state = state.copy(orderAttempts = state.orderAttempts.put(upstream, attempt))
}

private fun ControlStep.proposeEnd(
    upstream: String,
    record: OrderRecord,
    succeeded: Boolean,
    detail: String,
) {
    val fencing = record.fencing ?: return
    record(ControlEventCode.ORDER_ENDED, "upstream" to upstream, "succeeded" to succeeded, "detail" to detail)
    val operation = ControlOperation.EndOrder(upstream, fencing, succeeded, detail)
    proposeOwn("end/$upstream/${fencing.term}/${fencing.index}", operation)
}

// The longest election timeout: orders of an earlier leader have expired by then.
private const val ORDER_PAUSE_MILLISECONDS = 3_000L

// Shorter than the shortest election timeout of 1.5 s.
private const val ORDER_LIFETIME_MILLISECONDS = 1_000L
private const val MINIMUM_ORDER_LIFETIME_MILLISECONDS = 200L
private const val ORDER_RETRY_MILLISECONDS = 1_000L
private const val ORDER_UNREACHABLE_MILLISECONDS = 30_000L
private const val ORDER_REFUSALS = 3
private const val CLOCK_INTERVAL_MILLISECONDS = 60_000L
