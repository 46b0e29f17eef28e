package hawthorncrank.control.internal

import hawthorncrank.control.ControlState
import hawthorncrank.control.CrashRecord
import hawthorncrank.protocol.UnansweredRequest

/*
 * Derives from the evidence which contents may crash each engine that begins to answer them. Such content is at each of
 * these crashes in the request that the engine was about to begin, and no engine ever begins to answer it. Other
 * contents of waiting requests are begun elsewhere, which clears them.
 */

/** The contents about which entries are asked. */
internal fun ControlState.questionedSuspects(): List<Suspect> =
    suspects().filter { it.crashes.size >= CRASHES_TO_QUESTION }.takeLast(QUESTIONED_LIMIT)

/** The content to convict at [now], or null. Of contents with equal evidence it is the more specific part. */
internal fun ControlState.convictableSuspect(now: Long): Suspect? {
    val latest = crashEvidence.crashes.values.lastOrNull { it.requests.isNotEmpty() } ?: return null
    if (now - latest.at > JUDGEMENT_WINDOW_MILLISECONDS) return null
    val suspects = suspects()
    return suspects
        .filter { it.hasEnoughEvidence() && now - it.latestAt >= REFUTATION_MILLISECONDS }
        .filter { explainsMostCrashes(it) }
        .filter {
            it.occurrences.size >= CRASHES_BEYOND_CHANCE ||
                !it.isAmbiguous(suspects) && chanceOf(it) < CHANCE_LIMIT
        }.maxWithOrNull(compareBy({ it.crashes.size }, { it.requests.size }, { it.depth }))
}

/** A shared part is convicted only on the evidence of different requests, because repeats have all parts in common. */
private fun Suspect.hasEnoughEvidence(): Boolean =
    crashes.size >= CRASHES_TO_CONVICT && (depth == Suspect.WHOLE_CONTENT || requests.size >= REQUESTS_TO_CONVICT)

/**
 * Whether the suspect was in at least half of the crashes of its time. Otherwise engines crash for another reason, and
 * some content waits at several of these crashes by chance.
 */
private fun ControlState.explainsMostCrashes(suspect: Suspect): Boolean {
    val others =
        crashEvidence.crashes.count { (_, crash) ->
            crash.at in suspect.since..suspect.latestAt && !explanationOf(crash)(suspect.content) &&
                nextToBegin(crash).none { suspect.content in it.contents }
        }
    return suspect.occurrences.size >= others
}

/**
 * How many contents as frequent as the suspect one expects in all of its crashes by chance. A crash says little if many
 * requests waited for their turn.
 */
private fun ControlState.chanceOf(suspect: Suspect): Double {
    val crashes = crashEvidence.crashes.filterValues { !explanationOf(it)(suspect.content) }
    val waiting = crashes.values.flatMap { it.requests }
    val causes = suspect.occurrences.size - 1
    val share = maxOf(1, waiting.count { suspect.content in it.contents } - causes) / (waiting.size - causes).toDouble()
    val whole = suspect.depth == Suspect.WHOLE_CONTENT
    val candidates =
        waiting.flatMap { if (whole) it.contents.takeLast(1) else it.contents.dropLast(1) }.distinct().size
    val seen = HashSet<String>()
    return suspect.occurrences.fold(candidates.toDouble()) { chance, number ->
        val next = nextToBegin(crashEvidence.crashes.getValue(number))
        val repeated = next.filter { suspect.content in it.contents }.map { it.contents.last() }.none(seen::add)
        // Replicas must come to the same result, which Math.pow does not promise.
        val expected = 1 - StrictMath.pow(1 - share, next.size.toDouble())
        chance * if (repeated) maxOf(expected, REPEATED_CHANCE) else expected
    }
}

/** Whether content of other requests is suspected of the same crashes, so that further ones may tell them apart. */
private fun Suspect.isAmbiguous(suspects: List<Suspect>): Boolean =
    suspects.any { other -> other.requests.none { it in requests } && other.crashes.containsAll(crashes) }

private fun ControlState.suspects(): List<Suspect> {
    val collected = LinkedHashMap<String, SuspectEvidence>()
    crashEvidence.crashes.forEach { (number, crash) ->
        val explained = explanationOf(crash)
        nextToBegin(crash).forEach { request ->
            request.contents.forEachIndexed { index, content ->
                if (!explained(content) && !isCleared(content, crash)) {
                    val depth = if (index == request.contents.lastIndex) Suspect.WHOLE_CONTENT else index
                    val evidence = collected.getOrPut(content) { SuspectEvidence(depth, crash.at) }
                    evidence.add(number, crash.at, request.contents.last())
                }
            }
        }
    }
    return collected.map { (content, evidence) -> evidence.suspect(content) }
}

/**
 * The requests that the engine may have been about to begin: the oldest of each priority. The tolerance covers the ways
 * from different entries.
 */
private fun nextToBegin(crash: CrashRecord): List<UnansweredRequest> =
    crash.requests.groupBy { it.priority }.values.flatMap { equal ->
        val oldest = equal.maxOf { it.age }
        equal.filter { it.age >= oldest - AGE_TOLERANCE_MILLISECONDS }
    }

/** Convicted content needs no more evidence, and a conviction that an operator lifted stays lifted. */
private fun ControlState.isCleared(
    content: String,
    crash: CrashRecord,
): Boolean = (crashEvidence.began[content] ?: 0) >= crash.at || content in convictions

/**
 * Returns for which contents convicted content explains the crash. A whole request that is convicted explains it only
 * for other requests, because the cause may be one of its parts.
 */
private fun ControlState.explanationOf(crash: CrashRecord): (String) -> Boolean {
    if (convictions.isEmpty()) return { false }
    if (crash.requests.any { it.contents.dropLast(1).any(::isConvicted) }) return { true }
    val convicted = crash.requests.filter { isConvicted(it.contents.last()) }
    return { content -> convicted.any { content !in it.contents } }
}

private fun ControlState.isConvicted(content: String): Boolean = convictions[content]?.lifted == false

private const val CHANCE_LIMIT = 0.3

// A request that lost its engine is sent again and then waits where it is among the oldest.
private const val REPEATED_CHANCE = 0.5
private const val CRASHES_TO_CONVICT = 3
private const val CRASHES_BEYOND_CHANCE = 5
private const val CRASHES_TO_QUESTION = 2
private const val REQUESTS_TO_CONVICT = 2
private const val AGE_TOLERANCE_MILLISECONDS = 150L

// Longer than the way to the entries and back, also between regions.
private const val REFUTATION_MILLISECONDS = 500L
private const val QUESTIONED_LIMIT = 64

// Without a further crash nothing is left to judge after this time.
private const val JUDGEMENT_WINDOW_MILLISECONDS = 10_000L
