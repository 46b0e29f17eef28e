package hawthorncrank.control

import reactor.core.publisher.Mono

/**
 * The calls to the platform that one machine makes at a time. The Mono of a call sends it once when it is subscribed to, and
 * ends with an error if there is no answer.
 */
class PlatformDuties(
    val reportUsage: (DutyHolder, UsageCall) -> Mono<DutyAnswer>,
    val orderEngines: (DutyHolder, EngineCountCall) -> Mono<DutyAnswer>,
)

/**
 * The machine that makes a call, and its fencing token. [mayAct] says whether the call may still be written; an adapter asks
 * it on the thread that writes, once the connection is open.
 */
class DutyHolder(
    val machine: String,
    val token: Long,
    val mayAct: () -> Boolean = { true },
)

data class UsageCall(
    val window: Long,
    val counts: Map<String, Long>,
)

data class EngineCountCall(
    val group: EngineGroup,
    val count: Int,
)

/** The platform's answer to a call. */
sealed interface DutyAnswer {
    data object Accepted : DutyAnswer

    /** No engines of the kind that was ordered are to be had now. */
    data object NoneAvailable : DutyAnswer

    data object RateLimited : DutyAnswer

    data class Refused(
        val status: Int,
    ) : DutyAnswer
}
