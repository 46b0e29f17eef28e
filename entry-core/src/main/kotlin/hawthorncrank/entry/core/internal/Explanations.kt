package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The decisions on the newest 10,000 requests, as sentences for operators. */
internal data class Explanations(
    private val requests: RecentMap<Long, Explanation> = RecentMap(REQUESTS_REMEMBERED),
) {
    fun add(
        requestNumber: Long,
        sentence: String,
        now: Long,
    ): Explanations {
        val known = requests[requestNumber] ?: Explanation(now, persistentListOf())
        if (known.lines.size >= LINES_LIMIT) return this
        val line = "${now - known.since} ms: ${sentence.take(LINE_LENGTH_LIMIT)}"
        val lines = known.lines.add(if (known.lines.size == LINES_LIMIT - 1) "further decisions are omitted" else line)
        return copy(requests = requests.put(requestNumber, known.copy(lines = lines)))
    }

    fun of(requestNumber: Long): List<String> = requests[requestNumber]?.lines.orEmpty()
}

internal data class Explanation(
    val since: Long,
    val lines: PersistentList<String>,
)

/** Adds a decision on a request. The request is the implied subject of [sentence]. */
internal fun Reduction.explain(
    requestNumber: Long,
    sentence: String,
) {
    state = state.copy(explanations = state.explanations.add(requestNumber, sentence, now))
}

/** Accepts the plain request number, or the form `NAME-NUMBER` with this entry's name, which callers see. */
internal fun Reduction.answerExplainQuestion(question: ControlToEntry.ExplainQuestion) {
    val number = question.requestNumber.removePrefix("${settings.name}-").toLongOrNull()
    val lines = number?.let { state.explanations.of(it) }.orEmpty()
    emit(EntryEffect.SendToControl(EntryToControl.ExplainAnswer(question.question, lines)))
}

private const val REQUESTS_REMEMBERED = 10_000
private const val LINES_LIMIT = 40
private const val LINE_LENGTH_LIMIT = 200
