package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.entry.core.ResumePoint
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The requests that have no final answer yet. */
internal data class RequestsState(
    val active: PersistentMap<Long, ActiveRequest> = persistentMapOf(),
)

/**
 * One request from arrival to its final answer. [mayHaveRun] is set with the first attempt that cannot be proved not to
 * have begun; from then on no refusal may say "not run". [firstByteAt] is when the caller's answer began. [resume] is
 * where the next attempt goes on; [unreached] counts attempts that reached no upstream. [lastUpstream] failed it last;
 * [upstream] is the newest that it was sent to.
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
    val upstream: String? = null,
    val callerLeft: Boolean = false,
    val resume: ResumePoint? = null,
    val unreached: Int = 0,
    val reason: String? = null,
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
    get() = retryPolicy?.idempotent ?: ((target as? RequestTarget.Service)?.idempotent != false)

/** A route that allows one run needs no claim: each of its requests has an identifier of its own and is sent once. */
internal val CallerRequest.needsClaim: Boolean
    get() = retryPolicy == null && !isIdempotent

/** What the retry budget and the messages call the target: the model's or the service's name. */
internal val RequestTarget.label: String
    get() =
        when (this) {
            is RequestTarget.Model -> model
            is RequestTarget.Service -> service
        }
