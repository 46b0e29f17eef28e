package hawthorncrank.control.internal

import hawthorncrank.control.DutyAnswer

/** Logs and counts the end of a call. */
internal fun ControlStep.reportResult(
    call: DutyCall,
    result: DutyResult,
) {
    emit(ControlEffect.CountDutyCall(call.kind, result.kind))
    when (result) {
        is DutyResult.Unanswered -> logCall(ControlEventCode.DUTY_UNANSWERED, call, "detail" to result.detail)
        is DutyResult.Answered -> {
            val isRefused = result.answer is DutyAnswer.Refused || result.answer == DutyAnswer.RateLimited
            val event = if (isRefused) ControlEventCode.DUTY_REFUSED else ControlEventCode.DUTY_ANSWERED
            logCall(event, call, "answer" to result.kind)
        }
    }
}

internal fun ControlStep.logCall(
    event: ControlEventCode,
    call: DutyCall,
    field: Pair<String, Any?>? = null,
) = emit(ControlEffect.Record(event, call.fields() + listOfNotNull(field)))

private fun DutyCall.fields(): Map<String, Any?> =
    when (this) {
        is DutyCall.Usage ->
            mapOf(
                "duty" to kind,
                "token" to token,
                "window" to content.window,
                "requests" to content.counts.values.sum(),
            )
        is DutyCall.Engines ->
            mapOf(
                "duty" to kind,
                "token" to token,
                "service" to content.group.service,
                "zone" to content.group.availabilityZone,
                "reclaimable" to content.group.reclaimable,
                "count" to content.count,
                "order" to number,
            )
    }

internal val DutyCall.kind: String
    get() = duty.settingsName

private val DutyResult.kind: String
    get() =
        when (this) {
            is DutyResult.Unanswered -> "unanswered"
            is DutyResult.Answered ->
                when (val given = answer) {
                    DutyAnswer.Accepted -> "accepted"
                    DutyAnswer.NoneAvailable -> "none_available"
                    DutyAnswer.RateLimited -> "rate_limited"
                    is DutyAnswer.Refused -> "refused_${given.status}"
                }
        }

/** The holder of the duties and what is left to do, or nothing where there never was a holder. */
internal fun ControlStep.dutyLines(): List<String> {
    val duties = state.control.duties
    if (duties.token == 0L) return emptyList()
    return listOf(
        "  duties at the platform: holder ${duties.holder}, token ${duties.token}, taken in term ${duties.term}, " +
            "${state.control.usage.undelivered} usage windows not delivered",
    )
}
