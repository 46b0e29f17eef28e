package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaRole
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.Duty

/** Whether this replica took the duties in its current term as the leader and may still act on them. */
internal fun ControlStep.holdsDuties(): Boolean = state.holdsDuties()

internal fun ControlStep.holdsDuty(duty: Duty): Boolean = holdsDuties() && duty in state.dutyRules?.duties.orEmpty()

internal fun ProcessState.holdsDuties(): Boolean =
    mayTakeDuties() && control.duties.holder == dutyRules?.machine && control.duties.term == replica.term

private fun ProcessState.mayTakeDuties(): Boolean =
    dutyRules != null && !stopping && !dutyWork.resigned && leaderSince != null && replica.role == ReplicaRole.LEADER

/**
 * Whether a call under [token] may be written at [now]: this replica holds the duties under it, has waited a full lease, and
 * its contact with a majority is so young that the call ends before a later holder may begin.
 */
internal fun dutyCallAllowed(
    state: ProcessState,
    token: Long,
    now: Long,
): Boolean {
    val rules = state.dutyRules ?: return false
    if (!state.holdsDuties() || state.control.duties.token != token) return false
    if (state.dutyWork.token != token || state.dutyWork.waited < rules.lease) return false
    val contact = state.replica.majorityContactAt ?: return false
    return now - contact < rules.contactLimit
}

/** Takes the duties as the leader, counts the wait for the lease, and makes the calls that are due. */
internal fun ControlStep.tickDuties() {
    if (state.dutyRules == null) return
    takeDuties()
    followHolding()
    if (holdsDuty(Duty.USAGE_REPORT)) closeUsageWindows()
    startDutyCalls()
}

private fun ControlStep.takeDuties() {
    val rules = state.dutyRules ?: return
    if (!state.mayTakeDuties() || state.holdsDuties()) return
    proposeOwn("$TAKE_PREFIX${state.replica.term}", ControlOperation.TakeDuties(rules.machine))
}

/**
 * A former leader must not forward its proposals to the new one, which would have to take the duties again, and whose
 * orders of engines would be replaced by older ones.
 */
internal fun ControlStep.withdrawDutyProposals() {
    val own = state.pending.keys.filter { it.startsWith(TAKE_PREFIX) || it.startsWith(ENGINE_ORDER_PREFIX) }
    state = state.copy(pending = own.fold(state.pending) { pending, identifier -> pending.remove(identifier) })
}

/** A process that is about to stop makes no more calls, also if its hand-over ends before it stops. */
internal fun ControlStep.resignDuties() {
    state = state.copy(dutyWork = state.dutyWork.copy(resigned = true))
}

/**
 * Each tick counts as at most the interval between ticks. The wait protects the calls of an earlier holder, and a step of
 * the time of day, which the clock counts as a suspension, must not shorten it.
 */
private fun ControlStep.followHolding() {
    val rules = state.dutyRules ?: return
    val work = state.dutyWork
    val token = if (holdsDuties()) state.control.duties.token else 0
    if (token != work.token) return changeHolding(rules, token)
    if (token == 0L) return
    val elapsed = (now - work.countedAt).coerceIn(0, WAIT_STEP_MILLISECONDS)
    val waited = (work.waited + elapsed).coerceAtMost(rules.lease)
    state = state.copy(dutyWork = work.copy(waited = waited, countedAt = now))
}

private fun ControlStep.changeHolding(
    rules: DutyRules,
    token: Long,
) {
    val former = state.dutyWork
    state = state.copy(dutyWork = DutyWork(token, countedAt = now, allowanceAt = now, resigned = former.resigned))
    if (token == 0L) return record(ControlEventCode.DUTIES_LOST, "holder" to rules.machine, "token" to former.token)
    record(
        ControlEventCode.DUTIES_TAKEN,
        "holder" to rules.machine,
        "token" to token,
        "term" to state.replica.term,
        "duties" to rules.duties.joinToString(",") { it.settingsName },
        "checks_fencing" to rules.checksFencing,
    )
}

private const val TAKE_PREFIX = "take-duties/"

// The interval of the tick events.
private const val WAIT_STEP_MILLISECONDS = 100L
