package hawthorncrank.control.internal

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.OperatorAnswer
import kotlinx.collections.immutable.toPersistentSet

/** Asks the entries that are linked to this replica to explain what they decided on a request. */
internal fun ControlStep.askForExplanation(
    requester: Requester.Operator,
    requestNumber: String,
) {
    val number = state.nextExplanation
    val explanation =
        PendingExplanation(
            requester,
            state.entryLinks.keys.toPersistentSet(),
            now + EXPLANATION_MILLISECONDS,
        )
    state = state.copy(nextExplanation = number + 1, explanations = state.explanations.put(number, explanation))
    explanation.awaited.forEach { send(it, ControlToEntry.ExplainQuestion(number, requestNumber)) }
    if (explanation.awaited.isEmpty()) answerExplanation(number, explanation, emptyList())
}

/**
 * The first entry that knows the request provides the answer. An entry that does not know it is no longer waited for.
 */
internal fun ControlStep.handleExplainAnswer(
    link: Long,
    message: EntryToControl.ExplainAnswer,
) {
    val explanation = state.explanations[message.question] ?: return
    if (message.lines.isEmpty()) return stopWaitingFor(link, message.question, explanation)
    val entry = state.entryLinks[link]?.entry.orEmpty()
    answerExplanation(message.question, explanation, listOf("entry $entry:") + message.lines)
}

internal fun ControlStep.stopWaitingFor(
    link: Long,
    number: Long,
    explanation: PendingExplanation,
) {
    if (link !in explanation.awaited) return
    val remaining = explanation.copy(awaited = explanation.awaited.remove(link))
    state = state.copy(explanations = state.explanations.put(number, remaining))
    if (remaining.awaited.isEmpty()) answerExplanation(number, remaining, emptyList())
}

internal fun ControlStep.expireExplanations() {
    state.explanations.forEach { (number, explanation) ->
        if (now >= explanation.deadline) answerExplanation(number, explanation, emptyList())
    }
}

/** Empty [lines] mean that no entry linked to this replica knows the request. */
internal fun ControlStep.answerExplanation(
    number: Long,
    explanation: PendingExplanation,
    lines: List<String>,
) {
    state = state.copy(explanations = state.explanations.remove(number))
    answer(explanation.requester, OperatorAnswer.Report(lines))
}

private const val EXPLANATION_MILLISECONDS = 2_000L
