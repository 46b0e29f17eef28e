package hawthorncrank.entry.core.internal

import hawthorncrank.protocol.ControlToEntry
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

/**
 * Replaces the convictions with those that control lists. If content is no longer listed, its conviction has expired or
 * was lifted by an operator, so this entry's own evidence against it is dropped too.
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
            unlisted = listed.keys.fold(it.unlisted) { map, digest -> map.remove(digest) },
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
            unlisted = it.unlisted.remove(digest),
            lifted = it.lifted.put(digest, now),
            crashes = it.crashes.map { crash -> crash.copy(cleared = crash.cleared.add(digest)) }.toPersistentList(),
        )
    }
    record(EntryDecisionEvent.CONVICTION_ENDED, "content" to digest)
}
