package hawthorncrank.routing.internal

import hawthorncrank.routing.RoutedAttempt

/**
 * An attempt that has not ended. [prefilling] is true until its first token. [prefillTokens] are the prompt tokens that its
 * engine probably has to prefill for it, [waitingTokens] those of this entry's earlier attempts.
 */
internal data class RunningAttempt(
    val attempt: RoutedAttempt,
    val startedAt: Long,
    val prefillTokens: Int,
    val waitingTokens: Int,
    val tokens: Int = 0,
    val tokensAt: Long = startedAt,
    val prefilling: Boolean = true,
)
