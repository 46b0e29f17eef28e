package hawthorncrank.operator.internal

import hawthorncrank.protocol.OperatorAnswer
import java.time.Instant

/** Formats an answer as the lines that the command line prints. */
internal fun printed(answer: OperatorAnswer): PrintedAnswer =
    when (answer) {
        is OperatorAnswer.Accepted -> PrintedAnswer(acceptedLines(answer), succeeded = true)
        is OperatorAnswer.Report -> PrintedAnswer(answer.lines, succeeded = true)
        is OperatorAnswer.CurrentDocument ->
            PrintedAnswer(listOfNotNull("# version ${answer.version}", answer.document?.decodeToString()), true)
        is OperatorAnswer.CurrentConfiguration ->
            PrintedAnswer(listOf("# version ${answer.version}") + configurationLines(answer.configuration), true)
        is OperatorAnswer.ReplicaIdentity -> PrintedAnswer(listOf("${answer.member}"), succeeded = true)
        is OperatorAnswer.Conflict -> PrintedAnswer(listOf(conflictLine(answer)), succeeded = false)
        is OperatorAnswer.Refused ->
            PrintedAnswer(listOf("refused, nothing is changed: ${answer.problem}; ${answer.remedy}"), false)
        is OperatorAnswer.Uncertain ->
            PrintedAnswer(listOf("uncertain whether it was accepted: ${answer.remedy}"), succeeded = false)
    }

private fun acceptedLines(answer: OperatorAnswer.Accepted): List<String> {
    val version = if (answer.version > 0) ", configuration version ${answer.version}" else ""
    return listOf("accepted$version") + answer.lines.map { "  $it" }
}

private fun conflictLine(answer: OperatorAnswer.Conflict): String {
    val by = answer.changedBy.ifEmpty { "nobody" }
    val at = Instant.ofEpochMilli(answer.changedAtWallTime)
    return "conflict, nothing is changed: the current version is ${answer.currentVersion}, changed by $by at $at; " +
        "read it with \"hawthorncrank configuration show\" and propose on it"
}
