package hawthorncrank.entry.core.internal

import hawthorncrank.protocol.ControlToEntry
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

/**
 * Convictions as control lists them. Each update replaces the last. A content that was listed and no longer is has
 * expired or was lifted by an operator, so that this entry's own evidence against it ends too.
 */
internal fun Reduction.convictionsUpdated(update: ControlToEntry.ConvictionUpdate) {
    val current = state.suspects
    if (update.revision < current.controlRevision) return
    val listed = update.convictions.associate { it.contentDigest to now + it.expiresIn }
    val ended = current.listedByControl.keys - listed.keys
    val added = listed.keys - current.listedByControl.keys
    suspects {
        it.copy(
            listedByControl = listed.toPersistentMap(),
            controlRevision = update.revision,
            reporting = listed.keys.fold(it.reporting) { map, digest -> map.remove(digest) },
        )
    }
    ended.forEach(::endConviction)
    added.forEach { digest ->
        if (digest !in current.convicted) {
            record(EntryDecisionEvent.CONTENT_CONVICTED, "content" to digest, "source" to "control")
        }
        stopContent(digest)
    }
}

private fun Reduction.endConviction(digest: String) {
    suspects {
        it.copy(
            convicted = it.convicted.remove(digest),
            suspects = it.suspects.remove(digest),
            reporting = it.reporting.remove(digest),
            lifted = it.lifted.put(digest, now),
            crashes = it.crashes.map { crash -> crash.copy(pardoned = crash.pardoned.add(digest)) }.toPersistentList(),
        )
    }
    record(EntryDecisionEvent.CONVICTION_ENDED, "content" to digest)
}
