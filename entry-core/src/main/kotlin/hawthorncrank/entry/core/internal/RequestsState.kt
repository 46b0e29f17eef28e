package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.RequestTarget
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The requests that have no final answer yet. */
internal data class RequestsState(
    val active: PersistentMap<Long, ActiveRequest> = persistentMapOf(),
)

/**
 * One request from arrival to its final answer. [mayHaveRun] is set with the first attempt that cannot be proved not to
 * have begun; from then on no refusal may say "not run". [firstByteAt] is when the caller's answer began.
 */
internal data class ActiveRequest(
    val request: CallerRequest,
    val arrivedAt: Long,
    val phase: RequestPhase,
    val grantedClaim: GrantedClaim? = null,
    val attempts: Int = 0,
    val mayHaveRun: Boolean = false,
    val startedAt: Long? = null,
    val firstByteAt: Long? = null,
    val deliveredTokens: Int = 0,
    val deliveredBytes: Long = 0,
    val lastUpstream: String? = null,
    val callerLeft: Boolean = false,
) {
    val number: Long
        get() = request.number

    val waiting: Boolean
        get() = phase is RequestPhase.Queued || phase is RequestPhase.Claiming

    val answerBegan: Boolean
        get() = firstByteAt != null && grantedClaim == null
}

internal sealed interface RequestPhase {
    data class Claiming(
        val attemptIdentifier: String,
    ) : RequestPhase

    data object Queued : RequestPhase

    data class Running(
        val attemptNumber: Long,
    ) : RequestPhase

    /** The call under a claim has ended and its outcome record is under way. */
    data class Recording(
        val claimNumber: Long,
        val since: Long,
        val answered: Boolean,
    ) : RequestPhase

    /** The upstream's answer is whole; the caller still reads it. */
    data object Delivering : RequestPhase
}

internal val CallerRequest.isIdempotent: Boolean
    get() = (target as? RequestTarget.Service)?.idempotent != false

/** What the retry budget and the messages call the target: the model's or the service's name. */
internal val RequestTarget.label: String
    get() =
        when (this) {
            is RequestTarget.Model -> model
            is RequestTarget.Service -> service
        }
