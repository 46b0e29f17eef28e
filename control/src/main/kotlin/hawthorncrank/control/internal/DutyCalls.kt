package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.Duty
import hawthorncrank.control.DutyAnswer
import hawthorncrank.control.EngineCountCall
import hawthorncrank.control.EngineCountStatus
import hawthorncrank.control.UsageCall

/**
 * Makes the calls that are due, as far as the rate allows: the oldest report and, of each service and zone, the oldest
 * order that the platform has not answered. Subjects that were called longest ago come first, so that none starves.
 */
internal fun ControlStep.startDutyCalls() {
    val rules = state.dutyRules ?: return
    val token = state.dutyWork.token
    if (!dutyCallAllowed(state, token, now)) return
    replenishAllowance(rules)
    (listOfNotNull(usageCall(rules, token)) + engineCalls(rules, token))
        .filter { mayStart(it.subject) }
        .sortedBy { state.dutyWork.attempts[it.subject]?.startedAt ?: Long.MIN_VALUE }
        .take((state.dutyWork.allowance / THOUSANDTHS).toInt())
        .forEach(::start)
}

/**
 * Within any second, the calls stay below the platform's rate: a tenth may come at once, and eight tenths follow in the
 * course of a second.
 */
private fun ControlStep.replenishAllowance(rules: DutyRules) {
    val work = state.dutyWork
    val earned = (now - work.allowanceAt) * rules.callsPerSecond * REPLENISHED_SHARE
    val limit = maxOf(THOUSANDTHS, (rules.callsPerSecond * THOUSANDTHS * BURST_SHARE).toLong())
    val allowance = (work.allowance + earned.toLong()).coerceAtMost(limit)
    // An interval that earned nothing yet is counted again with the next one.
    if (allowance == work.allowance && allowance < limit) return
    state = state.copy(dutyWork = work.copy(allowance = allowance, allowanceAt = now))
}

private fun ControlStep.usageCall(
    rules: DutyRules,
    token: Long,
): DutyCall? {
    if (Duty.USAGE_REPORT !in rules.duties) return null
    return state.control.usage.closed.entries
        .firstOrNull { (window, report) -> !report.delivered && isUsageDue(window) }
        ?.let { (window, report) -> DutyCall.Usage(token, UsageCall(window, report.counts)) }
}

private fun ControlStep.isUsageDue(window: Long): Boolean =
    deliveredIdentifier(window) !in state.pending && now >= (state.dutyWork.refusals[window]?.retryAt ?: Long.MIN_VALUE)

private fun ControlStep.engineCalls(
    rules: DutyRules,
    token: Long,
): List<DutyCall> {
    if (Duty.AUTOSCALE !in rules.duties) return emptyList()
    return state.control.engineCounts.orders.entries
        .filter { (_, order) ->
            order.status == EngineCountStatus.UNSENT && answeredIdentifier(order.number) !in state.pending
        }.sortedBy { it.value.number }
        .map { (group, order) -> DutyCall.Engines(token, EngineCountCall(group, order.count), order.number) }
        .distinctBy { it.subject }
}

private fun ControlStep.mayStart(subject: DutySubject): Boolean {
    val attempt = state.dutyWork.attempts[subject] ?: return true
    val isInFlight = attempt.inFlight != null && now - attempt.startedAt < LOST_CALL_MILLISECONDS
    return !isInFlight && now >= attempt.retryAt
}

private fun ControlStep.start(call: DutyCall) {
    val work = state.dutyWork
    val attempt = (work.attempts[call.subject] ?: DutyAttempt()).copy(inFlight = call, startedAt = now)
    val attempts = work.attempts.put(call.subject, attempt)
    state = state.copy(dutyWork = work.copy(attempts = attempts, allowance = work.allowance - THOUSANDTHS))
    logCall(ControlEventCode.DUTY_CALL_SENT, call)
    emit(ControlEffect.CallPlatform(call))
}

internal fun ControlStep.dutyAnswered(event: ControlEvent.DutyAnswered) {
    val call = event.call
    val answer = (event.result as? DutyResult.Answered)?.answer
    reportResult(call, event.result)
    commitAnswer(call, answer)
    val work = state.dutyWork
    val attempt = work.attempts[call.subject]?.takeIf { it.inFlight == call } ?: return
    val next = if (answer?.isFinal == true) DutyAttempt(startedAt = attempt.startedAt) else attempt.failed(now)
    val refusals = if (answer?.isFinal == true) refusalsAfter(call, answer) else work.refusals
    state = state.copy(dutyWork = work.copy(attempts = work.attempts.put(call.subject, next), refusals = refusals))
    startDutyCalls()
}

/** What the platform answered is true whoever holds the duties now, so it is committed in any case. */
private fun ControlStep.commitAnswer(
    call: DutyCall,
    answer: DutyAnswer?,
) {
    if (answer?.isFinal != true) return
    val accepted = answer == DutyAnswer.Accepted
    when (call) {
        is DutyCall.Usage -> {
            val window = call.content.window
            if (accepted) proposeOwn(deliveredIdentifier(window), ControlOperation.UsageDelivered(window))
        }
        is DutyCall.Engines -> {
            val operation = ControlOperation.EngineOrderAnswered(call.content.group, call.number, accepted)
            proposeOwn(answeredIdentifier(call.number), operation)
        }
    }
}

/** The report of a window is repeated after a refusal too, with longer pauses and without delaying later windows. */
private fun ControlStep.refusalsAfter(
    call: DutyCall,
    answer: DutyAnswer,
) = state.dutyWork.refusals.let { refusals ->
    when {
        call !is DutyCall.Usage -> refusals
        answer == DutyAnswer.Accepted -> refusals.remove(call.content.window)
        else -> {
            val known = refusals[call.content.window] ?: DutyAttempt()
            val pause = pause(FIRST_REFUSAL_PAUSE_MILLISECONDS, known.failures, LONGEST_REFUSAL_PAUSE_MILLISECONDS)
            val forgotten = refusals.keys.filter { it !in state.control.usage.closed }
            val current = forgotten.fold(refusals) { kept, window -> kept.remove(window) }
            current.put(call.content.window, DutyAttempt(failures = known.failures + 1, retryAt = now + pause))
        }
    }
}

private fun DutyAttempt.failed(now: Long): DutyAttempt {
    val pause = pause(FIRST_PAUSE_MILLISECONDS, failures, LONGEST_PAUSE_MILLISECONDS)
    return copy(inFlight = null, failures = failures + 1, retryAt = now + pause)
}

private fun pause(
    first: Long,
    failures: Int,
    longest: Long,
): Long = minOf(first shl failures.coerceAtMost(MAXIMUM_DOUBLINGS), longest)

/** Whether repeating the call at once cannot change the answer. An error of the platform itself can pass. */
private val DutyAnswer.isFinal: Boolean
    get() =
        when (this) {
            DutyAnswer.Accepted, DutyAnswer.NoneAvailable -> true
            DutyAnswer.RateLimited -> false
            is DutyAnswer.Refused -> status < FIRST_SERVER_ERROR
        }

private fun deliveredIdentifier(window: Long) = "usage-delivered/$window"

private fun answeredIdentifier(number: Long) = "engines-answered/$number"

private const val THOUSANDTHS = 1_000L
private const val REPLENISHED_SHARE = 0.8
private const val BURST_SHARE = 0.1
private const val FIRST_SERVER_ERROR = 500
private const val FIRST_PAUSE_MILLISECONDS = 200L

// Reports are due seconds after the platform has recovered, so the pauses stay short.
private const val LONGEST_PAUSE_MILLISECONDS = 1_000L
private const val FIRST_REFUSAL_PAUSE_MILLISECONDS = 1_000L
private const val LONGEST_REFUSAL_PAUSE_MILLISECONDS = 60_000L
private const val MAXIMUM_DOUBLINGS = 10

// Longer than the time limit of a call and a step of the time of day together.
private const val LOST_CALL_MILLISECONDS = 5_000L
