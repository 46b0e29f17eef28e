package hawthorncrank.control.internal

import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.HISTORY_LIMIT
import hawthorncrank.control.HistoryEntry
import hawthorncrank.control.StagedChange
import hawthorncrank.intents.describeDelta
import hawthorncrank.intents.validateConfiguration
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.NamedChanges
import hawthorncrank.protocol.OperatorAnswer
import kotlinx.collections.immutable.PersistentMap

/** Accepts the first change to a base version; every later change to that base is a conflict. */
internal fun ControlState.changeConfiguration(
    operation: ControlOperation.ChangeConfiguration,
    context: CommandContext,
): Answered {
    val (unstaged, staged) = withoutStaged(context.command.identifier)
    val base = operation.delta.baseVersion
    if (base != version) return unstaged.conflict(base)
    if (staged.size < operation.stagedParts) {
        return refused("parts of the change are missing", "propose it again under a new command identifier")
            .copy(transient = true)
    }
    return unstaged.withDeltas(staged + operation.delta, operation.reason, context)
}

/**
 * Replaces the configuration by a version that an operator numbered. The highest version wins; one that is not above
 * the current version is acknowledged without effect. If another change to the base was applied first, the proposer
 * computes this one again.
 */
internal fun ControlState.replaceConfiguration(
    operation: ControlOperation.ReplaceConfiguration,
    context: CommandContext,
): Answered {
    val (unstaged, staged) = withoutStaged(context.command.identifier)
    val base = operation.delta.baseVersion
    if (operation.delta.version <= version) return unstaged.accepted()
    if (base != version || staged.size < operation.stagedParts) return unstaged.conflict(base).copy(transient = true)
    val answered = unstaged.withDeltas(staged + operation.delta, "", context)
    if (answered.answer !is OperatorAnswer.Accepted) return answered
    return answered.copy(state = answered.state.copy(document = operation.document))
}

/** Returns the state without the staged parts of a change, and those parts in order. */
private fun ControlState.withoutStaged(change: String): Pair<ControlState, List<ConfigurationDelta>> {
    val parts =
        stagedChanges[change]
            ?.parts
            .orEmpty()
            .toSortedMap()
            .values
    return copy(stagedChanges = stagedChanges.remove(change)) to parts.toList()
}

private fun ControlState.withDeltas(
    deltas: List<ConfigurationDelta>,
    reason: String,
    context: CommandContext,
): Answered {
    val next = deltas.fold(configuration) { current, delta -> delta.applyTo(current) }
    val failures = validateConfiguration(next)
    if (failures.isNotEmpty()) return invalid(failures.map { it.problem }, failures.first().remedy)
    val combined = deltas.reduce(::combine)
    return this
        .withConfiguration(next, combined, context)
        .withHistoryEntry(context, describeDelta(combined), reason)
        .accepted(describeDelta(combined))
}

internal fun ControlState.stageChange(operation: ControlOperation.StageChange): ControlState {
    val known = stagedChanges[operation.change] ?: StagedChange(operation.delta.baseVersion, clock, emptyMap())
    if (operation.change in answers) return this
    val staged = known.copy(parts = known.parts + (operation.part to operation.delta))
    return copy(stagedChanges = stagedChanges.put(operation.change, staged).withoutOldestAbove(MAXIMUM_STAGED_CHANGES))
}

/** Makes [next] the current configuration. [delta] is its difference from the previous one. */
internal fun ControlState.withConfiguration(
    next: Configuration,
    delta: ConfigurationDelta,
    context: CommandContext,
): ControlState =
    copy(
        version = delta.version,
        configuration = next,
        changedBy = context.command.by,
        changedAtWallTime = context.command.wallTime,
        lastDelta = delta.copy(baseVersion = version),
    ).withoutRemovedUpstreams()

/** Adds an entry to the history: [what] was changed and [why]. */
internal fun ControlState.withHistoryEntry(
    context: CommandContext,
    what: List<String>,
    why: String,
): ControlState {
    val entry = HistoryEntry(version, context.command.by, context.command.wallTime, what, why)
    return copy(
        history = history.put(nextHistoryNumber, entry).withoutOldestAbove(HISTORY_LIMIT),
        nextHistoryNumber = nextHistoryNumber + 1,
    )
}

internal fun ControlState.invalid(
    problems: List<String>,
    remedy: String,
): Answered {
    val shown = problems.take(SHOWN_PROBLEMS).joinToString("; ")
    val more = if (problems.size > SHOWN_PROBLEMS) "; and ${problems.size - SHOWN_PROBLEMS} more" else ""
    return refused(shown + more, remedy)
}

/** Removes the oldest element of a map that has grown by one beyond [limit]. */
internal fun <Key, Value> PersistentMap<Key, Value>.withoutOldestAbove(limit: Int): PersistentMap<Key, Value> =
    if (size > limit) remove(keys.first()) else this

private fun ControlState.conflict(base: Long): Answered =
    if (base > version) {
        refused("version $base does not exist; the current one is $version", "read the configuration and propose again")
    } else {
        Answered(this, OperatorAnswer.Conflict(version, changedBy, changedAtWallTime))
    }

/** Removes the drains of removed upstreams, which would silently apply to a later upstream of the same name. */
private fun ControlState.withoutRemovedUpstreams(): ControlState {
    val names = configuration.upstreams.mapTo(HashSet()) { it.name }
    val gone = drains.keys.filter { it !in names }
    if (gone.isEmpty()) return this
    return copy(drains = gone.fold(drains) { kept, name -> kept.remove(name) }, drainRevision = drainRevision + 1)
}

private fun combine(
    first: ConfigurationDelta,
    second: ConfigurationDelta,
) = second.copy(
    classes = combine(first.classes, second.classes),
    organisations = combine(first.organisations, second.organisations),
    upstreams = combine(first.upstreams, second.upstreams),
    services = combine(first.services, second.services),
    routes = combine(first.routes, second.routes),
    routeServices = combine(first.routeServices, second.routeServices),
    weightStore = second.weightStore ?: first.weightStore,
)

/** Concatenation is enough, because the parts of one change name every item at most once. */
private fun <Item> combine(
    first: NamedChanges<Item>,
    second: NamedChanges<Item>,
) = NamedChanges(first.changed + second.changed, first.removed + second.removed)

private const val SHOWN_PROBLEMS = 5
private const val MAXIMUM_STAGED_CHANGES = 4
