package hawthorncrank.control.internal

import hawthorncrank.control.CONVICTION_MILLISECONDS
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.ConvictionRecord
import hawthorncrank.control.EntryPresence

/** Convicts a request content. A report without further crashes neither extends nor renews a conviction. */
internal fun ControlState.convict(
    operation: ControlOperation.Convict,
    context: CommandContext,
    lifetime: Long = CONVICTION_MILLISECONDS,
): ControlState {
    val known = convictions[operation.contentDigest]
    if (known != null && known.crashes >= operation.crashes) return this
    val record = ConvictionRecord(operation.crashes, clock + lifetime, context.command.by)
    return copy(
        convictions = convictions.put(operation.contentDigest, record).withoutOldestAbove(CONVICTION_LIMIT),
        convictionRevision = convictionRevision + 1,
    )
}

internal fun ControlState.liftConviction(
    operation: ControlOperation.LiftConviction,
    context: CommandContext,
): Answered {
    val digest = operation.contentDigest
    val record =
        convictions[digest]?.takeIf { !it.lifted }
            ?: return refused("there is no conviction of $digest", "look at: hawthorncrank status")
    val kept = convictions.put(digest, record.copy(lifted = true))
    val lifted = copy(convictions = kept, convictionRevision = convictionRevision + 1)
    val what = listOf("conviction of $digest lifted")
    return lifted.withHistoryEntry(context, what, "").accepted(what)
}

internal fun ControlState.drain(
    operation: ControlOperation.Drain,
    context: CommandContext,
): Answered {
    val name = operation.upstream
    if (configuration.upstreams.none { it.name == name }) {
        return refused("there is no upstream \"$name\"", "look at: hawthorncrank configuration show")
    }
    val what = listOf("upstream $name ${if (operation.draining) "drains" else "takes work again"}")
    if (operation.draining == name in drains) return accepted(what)
    return withDrain(name, operation.draining, context.command.by).withHistoryEntry(context, what, "").accepted(what)
}

internal fun ControlState.withDrain(
    upstream: String,
    draining: Boolean,
    by: String,
): ControlState {
    if (draining == upstream in drains) return this
    val next = if (draining) drains.put(upstream, by) else drains.remove(upstream)
    return copy(drains = next, drainRevision = drainRevision + 1)
}

internal fun ControlState.entryLinked(
    operation: ControlOperation.EntryLinked,
    context: CommandContext,
): ControlState {
    val known = entries[operation.entry]
    if (known?.link == context.command.identifier) return this
    val first = if (operation.fresh) nextClaimNumber else known?.firstClaimNumber ?: 0
    val presence =
        EntryPresence(
            operation.replica,
            first,
            context.command.identifier,
            operation.availabilityZone,
            operation.relayAddress,
        )
    return copy(
        entries = entries.remove(operation.entry).put(operation.entry, presence).withoutOldestAbove(ENTRY_LIMIT),
    )
}

/** Marks the entry as not linked, unless it has moved to another replica. */
internal fun ControlState.entryLost(operation: ControlOperation.EntryLost): ControlState {
    val known = entries[operation.entry] ?: return this
    if (known.replica != operation.replica) return this
    return copy(entries = entries.put(operation.entry, known.copy(replica = null)))
}

private const val CONVICTION_LIMIT = 10_000

// Six times the planned fleet, because entries may return under new names.
private const val ENTRY_LIMIT = 2_000
