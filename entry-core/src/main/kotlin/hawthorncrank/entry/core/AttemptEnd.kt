package hawthorncrank.entry.core

import hawthorncrank.protocol.CallOutcome

/** How an attempt at an upstream ended, as the traffic threads saw it. */
sealed interface AttemptEnd {
    /** The upstream answered whole. [answer] is present for non-idempotent calls, to be recorded. */
    data class Completed(
        val status: Int,
        val tokens: Int,
        val bytes: Long,
        val answer: CallOutcome.Answered?,
    ) : AttemptEnd

    /** No byte of the request left this process. */
    data object NotConnected : AttemptEnd

    /** The upstream said that it did not begin (503, or 429 with Retry-After). */
    data class Rejected(
        val retryAfterMilliseconds: Long?,
    ) : AttemptEnd

    /** The connection broke after the request was sent. */
    data class Broken(
        val tokens: Int,
        val bytes: Long,
    ) : AttemptEnd

    /** Silence exceeded the bound of [phase]; the connection was dropped. */
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

/** The phases of an upstream exchange that have a bound on silence. */
enum class TimeoutPhase { CONNECT, FIRST_BYTE, BETWEEN_BYTES }
