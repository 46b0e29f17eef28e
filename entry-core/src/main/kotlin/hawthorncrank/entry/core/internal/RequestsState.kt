package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.entry.core.ResumePoint
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** The requests that have no final answer yet. */
internal data class RequestsState(
    val active: PersistentMap<Long, ActiveRequest> = persistentMapOf(),
)

/**
 * One request from arrival to its final answer. [mayHaveRun] is set after the first attempt that may have started at
 * the upstream; from then on no refusal may say "not run". [firstByteAt] is when the caller's answer began. [resume] is
 * where the next attempt resumes the stream. [unreached] counts attempts that did not reach their upstream, and
 * [unreachedTime] the milliseconds that they took. [lastUpstream] is
 * the one that failed last, and [upstream] the one to which the request was sent last. [addresses] are those to which it
 * was sent so far. [relaysRefused] counts entries that could not relay the request. [software]
 * is the version that began the stream, and [traced] tells that control was asked for it.
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
    val addresses: PersistentSet<String> = persistentSetOf(),
    val callerLeft: Boolean = false,
    val resume: ResumePoint? = null,
    val unreached: Int = 0,
    val unreachedTime: Long = 0,
    val reason: String? = null,
    val relaysRefused: Int = 0,
    val software: String? = null,
    val traced: Boolean = false,
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

    /** Control is asked which version of software began the stream [origin]. */
    data class Tracing(
        val origin: String,
        val since: Long,
    ) : RequestPhase

    data class Running(
        val attemptNumber: Long,
    ) : RequestPhase

    /** The call under a claim has ended and its outcome is being recorded. */
    data class Recording(
        val claimNumber: Long,
        val since: Long,
        val answered: Boolean,
    ) : RequestPhase

    /** The upstream's answer is complete and the caller is still receiving it. */
    data object Delivering : RequestPhase
}

internal val CallerRequest.isIdempotent: Boolean
    get() = retryPolicy?.idempotent ?: ((target as? RequestTarget.Service)?.idempotent != false)

/** A request on an at-most-once route needs no claim: it has an identifier of its own and is sent once. */
internal val CallerRequest.needsClaim: Boolean
    get() = retryPolicy == null && !isIdempotent

/** The name of the model or service, as used by the retry budget and in messages. */
internal val RequestTarget.label: String
    get() =
        when (this) {
            is RequestTarget.Model -> model
            is RequestTarget.Service -> service
        }
