package hawthorncrank.control.internal

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.OperatorAnswer
import kotlinx.collections.immutable.toPersistentSet

/** Asks the entries that are linked here what they decided on a request. */
internal fun ControlStep.ask(
    requester: Requester.Operator,
    requestNumber: String,
) {
    val number = state.nextQuestion
    val question = Question(requester, state.entryLinks.keys.toPersistentSet(), now + QUESTION_MILLISECONDS)
    state = state.copy(nextQuestion = number + 1, questions = state.questions.put(number, question))
    question.awaited.forEach { send(it, ControlToEntry.ExplainQuestion(number, requestNumber)) }
    if (question.awaited.isEmpty()) answerQuestion(number, question, emptyList())
}

/** The first entry that knows the request answers; the others only shorten the wait. */
internal fun ControlStep.explained(
    link: Long,
    message: EntryToControl.ExplainAnswer,
) {
    val question = state.questions[message.question] ?: return
    if (message.lines.isEmpty()) return noAnswerFrom(link, message.question, question)
    val entry = state.entryLinks[link]?.entry.orEmpty()
    answerQuestion(message.question, question, listOf("entry $entry:") + message.lines)
}

internal fun ControlStep.noAnswerFrom(
    link: Long,
    number: Long,
    question: Question,
) {
    if (link !in question.awaited) return
    val remaining = question.copy(awaited = question.awaited.remove(link))
    state = state.copy(questions = state.questions.put(number, remaining))
    if (remaining.awaited.isEmpty()) answerQuestion(number, remaining, emptyList())
}

internal fun ControlStep.expireQuestions() {
    state.questions.forEach { (number, question) ->
        if (now >= question.deadline) answerQuestion(number, question, emptyList())
    }
}

/** No lines mean that no entry linked here knows the request. */
internal fun ControlStep.answerQuestion(
    number: Long,
    question: Question,
    lines: List<String>,
) {
    state = state.copy(questions = state.questions.remove(number))
    answer(question.requester, OperatorAnswer.Report(lines))
}

private const val QUESTION_MILLISECONDS = 2_000L
