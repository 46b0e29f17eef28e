package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.CrashRecord
import kotlin.math.abs

/** Adds the requests of one entry to the crash. Entries report one crash within a short time of each other. */
internal fun ControlState.recordCrash(operation: ControlOperation.RecordCrash): ControlState {
    val evidence = crashEvidence
    val at = clock - operation.age
    val known = evidence.crashes.entries.lastOrNull { it.value.isCrashOf(operation.engine, at) }
    val number = known?.key ?: evidence.nextNumber
    val crash = known?.value ?: CrashRecord(operation.engine, at, emptyList())
    val requests = (crash.requests + operation.requests).take(REQUESTS_LIMIT)
    val crashes = evidence.crashes.put(number, crash.copy(requests = requests)).withoutOldestAbove(CRASHES_LIMIT)
    return copy(crashEvidence = evidence.copy(crashes = crashes, nextNumber = maxOf(evidence.nextNumber, number + 1)))
}

internal fun ControlState.knowsCrash(
    engine: String,
    at: Long,
): Boolean = crashEvidence.crashes.values.any { it.isCrashOf(engine, at) }

private fun CrashRecord.isCrashOf(
    engine: String,
    time: Long,
): Boolean = this.engine == engine && abs(time - at) <= ONE_CRASH_MILLISECONDS

internal fun ControlState.clearContents(operation: ControlOperation.ClearContents): ControlState {
    val began =
        operation.contents.fold(crashEvidence.began) { began, content ->
            began.remove(content.content).put(content.content, maxOf(clock - content.age, began[content.content] ?: 0))
        }
    return copy(crashEvidence = crashEvidence.copy(began = began.withoutOldestAbove(CONTENTS_LIMIT)))
}

/** Convicts one content after the other: the crashes that it explains are no longer evidence against others. */
internal fun ControlState.judgeSuspects(context: CommandContext): ControlState {
    var judged = this
    while (true) {
        val suspect = judged.convictableSuspect(clock) ?: return judged
        val operation = ControlOperation.Convict(suspect.content, suspect.occurrences.size)
        judged = judged.convict(operation, context, EVIDENCE_CONVICTION_MILLISECONDS)
    }
}

internal fun ControlState.withoutExpiredEvidence(): ControlState {
    val (expired, recent) = crashEvidence.crashes.entries.partition { it.value.at + EVIDENCE_MILLISECONDS <= clock }
    if (expired.isEmpty()) return this
    val crashes = expired.fold(crashEvidence.crashes) { crashes, (number, _) -> crashes.remove(number) }
    val oldest = recent.firstOrNull()?.value?.at ?: clock
    val outdated = crashEvidence.began.filterValues { it < oldest }.keys
    val began = outdated.fold(crashEvidence.began) { began, content -> began.remove(content) }
    return copy(crashEvidence = crashEvidence.copy(crashes = crashes, began = began))
}

// Shorter than the time that an engine takes to start again.
private const val ONE_CRASH_MILLISECONDS = 2_000L
private const val EVIDENCE_MILLISECONDS = 600_000L

// Shorter than for content that an entry convicted, because a part is in many requests and its verdict statistical.
private const val EVIDENCE_CONVICTION_MILLISECONDS = 600_000L
private const val CRASHES_LIMIT = 128
private const val REQUESTS_LIMIT = 64
private const val CONTENTS_LIMIT = 2_000
