package hawthorncrank.intents

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import hawthorncrank.common.Milliseconds
import hawthorncrank.intents.internal.matchName
import hawthorncrank.intents.internal.nearest
import java.time.Instant
import java.time.LocalTime
import java.time.ZoneOffset

/**
 * Parses a sentence of the intent grammar. The forms are "WORDS: CLASS first", "protect CLASS until HH:MM", "protect
 * CLASS for DURATION", "limit ORGANISATION to N requests per second", "slow CLASS down", "drain UPSTREAM" and
 * "undo PLAN". Names match regardless of case, spaces, punctuation and plural.
 */
fun parseIntent(
    sentence: String,
    context: IntentContext,
): Result<Intent, IntentFailure> {
    val text = sentence.trim().trimEnd('.').replace(SPACES, " ")
    for ((pattern, parse) in FORMS) {
        val match = pattern.matchEntire(text) ?: continue
        return parse(match.groupValues.drop(1).map(String::trim), context)
    }
    return Err(IntentFailure.NotUnderstood(sentence, nearest(text, examples(context))))
}

private fun raise(
    parts: List<String>,
    context: IntentContext,
): Result<Intent, IntentFailure> = className(parts[1], context).map { Intent.RaiseClass(parts[0], it) }

private fun protectUntil(
    parts: List<String>,
    context: IntentContext,
): Result<Intent, IntentFailure> {
    val hour = parts[1].toInt()
    val minute = parts[2].toInt()
    if (hour !in 0..23 || minute !in 0..59) {
        return Err(IntentFailure.InvalidNumber("${parts[1]}:${parts[2]}", "write a time from 00:00 to 23:59"))
    }
    val offset = ZoneOffset.ofTotalSeconds(context.offsetMinutes * SECONDS_PER_MINUTE)
    val now = Instant.ofEpochMilli(context.wallTime).atOffset(offset)
    val today = now.with(LocalTime.of(hour, minute))
    val end = if (today.isAfter(now)) today else today.plusDays(1)
    val words = "until ${end.toLocalDate()} ${end.toLocalTime()} ($offset), then it returns by itself"
    return className(parts[0], context)
        .map { Intent.ProtectClass(it, PlanEnd.At(end.toInstant().toEpochMilli(), words)) }
}

private fun protectFor(
    parts: List<String>,
    context: IntentContext,
): Result<Intent, IntentFailure> {
    val duration =
        parseDuration(parts[1])
            ?: return Err(IntentFailure.InvalidNumber(parts[1], "write a duration from 1 min to 7 d, as in \"2 h\""))
    val words = "for ${parts[1]} after it is confirmed, then it returns by itself"
    return className(parts[0], context).map { Intent.ProtectClass(it, PlanEnd.After(duration.value, words)) }
}

private fun limit(
    parts: List<String>,
    context: IntentContext,
): Result<Intent, IntentFailure> {
    val rate =
        parts[1].toIntOrNull()?.takeIf { it in 1..MAXIMUM_REQUESTS_PER_SECOND }
            ?: return Err(IntentFailure.InvalidNumber(parts[1], "write a rate from 1 to $MAXIMUM_REQUESTS_PER_SECOND"))
    return matchName("organisation", parts[0], context.configuration.organisations.map { it.name })
        .map { Intent.LimitOrganisation(it, rate) }
}

private fun slow(
    parts: List<String>,
    context: IntentContext,
): Result<Intent, IntentFailure> = className(parts[0], context).map { Intent.SlowClass(it) }

private fun drain(
    parts: List<String>,
    context: IntentContext,
): Result<Intent, IntentFailure> {
    val names = context.configuration.upstreams.map { it.name }
    val whole = matchName("upstream", parts[0], names)
    val kindWord = DRAIN_KIND.matchEntire(parts[0])
    val found = if (whole.isErr && kindWord != null) matchName("upstream", kindWord.groupValues[1], names) else whole
    return found.map { Intent.DrainUpstream(it) }
}

private fun undo(
    parts: List<String>,
    context: IntentContext,
): Result<Intent, IntentFailure> {
    val number = parts[0].toLongOrNull()?.takeIf { it in context.confirmedPlans }
    if (number != null) return Ok(Intent.UndoPlan(number))
    val known = context.confirmedPlans.keys.map(Long::toString)
    return Err(IntentFailure.UnknownName("plan in force", parts[0], nearest(parts[0], known)))
}

private fun className(
    text: String,
    context: IntentContext,
) = matchName("class", text, context.configuration.classes.map { it.name })

private fun parseDuration(text: String): Milliseconds? {
    val match = DURATION.matchEntire(text.lowercase()) ?: return null
    val count = match.groupValues[1].toLongOrNull() ?: return null
    val unit =
        when (match.groupValues[2].first()) {
            'm' -> MILLISECONDS_PER_MINUTE
            'h' -> 60 * MILLISECONDS_PER_MINUTE
            else -> 24 * 60 * MILLISECONDS_PER_MINUTE
        }
    if (count !in 1..MAXIMUM_DURATION / unit) return null
    return Milliseconds(count * unit)
}

private fun examples(context: IntentContext): List<String> {
    val configuration = context.configuration
    val classes = exampleNames(configuration.classes.map { it.name }, "CLASS")
    val organisations = exampleNames(configuration.organisations.map { it.name }, "ORGANISATION")
    val upstreams = exampleNames(configuration.upstreams.map { it.name }, "UPSTREAM")
    val forClasses =
        classes.flatMap {
            listOf("today: $it first", "protect $it until 22:00", "protect $it for 2 h", "slow $it down")
        }
    return forClasses +
        organisations.map { "limit $it to 10 requests per second" } +
        upstreams.map { "drain $it" } +
        context.confirmedPlans.keys.map { "undo $it" }
}

private fun exampleNames(
    names: List<String>,
    placeholder: String,
) = names.take(EXAMPLES_PER_KIND).ifEmpty { listOf(placeholder) }

private const val SECONDS_PER_MINUTE = 60
private const val MILLISECONDS_PER_MINUTE = 60_000L
private const val MAXIMUM_DURATION = 7L * 24 * 60 * MILLISECONDS_PER_MINUTE
private const val MAXIMUM_REQUESTS_PER_SECOND = 100_000

// Suggestions compute the edit distance to every example, which would be slow with 12,000 organisations.
private const val EXAMPLES_PER_KIND = 200
private val SPACES = Regex("\\s+")
private val DURATION = Regex("""(\d{1,6}) ?(m|min|minutes?|h|hours?|d|days?)""")
private val DRAIN_KIND = form("""(?:engine|service|upstream) (.+)""")
private val FORMS: List<Pair<Regex, (List<String>, IntentContext) -> Result<Intent, IntentFailure>>> =
    listOf(
        form("""(.+): ?(.+) first""") to ::raise,
        form("""protect (.+) until (\d{1,2}):(\d{2})""") to ::protectUntil,
        form("""protect (.+) for (\d.*)""") to ::protectFor,
        form("""limit (.+) to (\d+) requests? per second""") to ::limit,
        form("""slow (.+) down""") to ::slow,
        form("""drain (.+)""") to ::drain,
        form("""undo (?:plan )?(.+)""") to ::undo,
    )

private fun form(pattern: String) = Regex(pattern, RegexOption.IGNORE_CASE)
