package hawthorncrank.entry.core

import hawthorncrank.protocol.CallOutcome

/** How an attempt at an upstream ended, as reported by the traffic threads. */
sealed interface AttemptEnd {
    /**
     * The upstream sent a complete answer. [answer] is set for non-idempotent calls, so that it can be recorded. [accepted]
     * tells whether the upstream began to run the request.
     */
    data class Completed(
        val status: Int,
        val tokens: Int,
        val bytes: Long,
        val answer: CallOutcome.Answered?,
        val accepted: Boolean = true,
    ) : AttemptEnd

    /** No byte of the request left this process. */
    data object NotConnected : AttemptEnd

    /**
     * The upstream rejected the request without running it (503, or 429 with Retry-After). If the rejection
     * [concernsUpstream] as a whole, no other request may be sent there before [retryAfterMilliseconds] have passed.
     */
    data class Rejected(
        val retryAfterMilliseconds: Long?,
        val concernsUpstream: Boolean = false,
    ) : AttemptEnd

    /** The caller's deadline passed before the request was sent. */
    data object Expired : AttemptEnd

    /** Another upstream answered at the address and did not run the request. */
    data object Misdirected : AttemptEnd

    /** The connection broke after the request was sent. */
    data class Broken(
        val tokens: Int,
        val bytes: Long,
    ) : AttemptEnd

    /** The upstream sent nothing within the timeout of [phase], and the connection was closed. */
    data class TimedOut(
        val phase: TimeoutPhase,
        val tokens: Int,
        val bytes: Long,
    ) : AttemptEnd

    /** This entry cancelled the attempt. */
    data class Cancelled(
        val tokens: Int,
    ) : AttemptEnd
}

/** The phases of an upstream exchange that each have a timeout. */
enum class TimeoutPhase { CONNECT, FIRST_BYTE, BETWEEN_BYTES }
