package hawthorncrank.entry.internal

import hawthorncrank.common.decodeBounded
import hawthorncrank.entry.core.EntryEvent
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap

/** The exchanges and attempts in progress, by the numbers with which effects of the control thread refer to them. */
internal class ActiveExchanges(
    val client: UpstreamClient,
    val now: () -> Long,
    val budget: AnswerBudget = answerBudget(),
    val report: (EntryEvent) -> Unit,
) {
    private val exchanges = ConcurrentHashMap<Long, Exchange>()
    private val attempts = ConcurrentHashMap<Long, AttemptOwner>()

    val inProgress: Int get() = exchanges.size

    fun register(exchange: Exchange) {
        exchanges[exchange.number] = exchange
    }

    fun register(
        attempt: Attempt,
        exchange: Exchange,
    ) {
        attempts[attempt.number] = AttemptOwner(attempt, exchange)
    }

    fun exchange(requestNumber: Long): Exchange? = exchanges[requestNumber]

    fun cancel(attemptNumber: Long) {
        val owner = attempts[attemptNumber] ?: return
        owner.exchange.cancel(owner.attempt)
    }

    fun remove(attempt: Attempt) {
        attempts.remove(attempt.number)
    }

    fun remove(exchange: Exchange) {
        exchanges.remove(exchange.number)
    }

    private class AttemptOwner(
        val attempt: Attempt,
        val exchange: Exchange,
    )
}

/** The number of generated tokens that an engine reports in a complete answer, or 0. */
internal fun generatedTokens(answer: CompleteAnswer): Int =
    try {
        lenient.decodeBounded<AnswerWithUsage>(answer.body.decodeToString()).usage?.completionTokens ?: 0
    } catch (_: IllegalArgumentException) {
        0
    }

@Serializable
private data class AnswerWithUsage(
    val usage: Usage? = null,
)

@Serializable
private data class Usage(
    @SerialName("completion_tokens")
    val completionTokens: Int = 0,
)
