package hawthorncrank.entry.core.internal

import hawthorncrank.protocol.UnansweredRequest
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * What this entry contributes to the evidence against contents behind routes. [unanswered] are upstreams to
 * which connections broke, with the requests whose answer had not begun, until a probe tells whether they crashed. [unsent]
 * are crashes whose report waits for the control link. [began] is when an upstream last began to answer a request with a content,
 * and [suspicions] are the contents about which control asks, with the time since which they are suspected. Those in
 * [refuted] were answered on this control link.
 */
internal data class CrashEvidenceState(
    val unanswered: PersistentMap<String, PersistentList<UnansweredRequest>> = persistentMapOf(),
    val unsent: PersistentList<ObservedCrash> = persistentListOf(),
    val began: RecentMap<String, Long> = RecentMap(BEGAN_REMEMBERED),
    val suspicions: PersistentMap<String, Long> = persistentMapOf(),
    val refuted: PersistentSet<String> = persistentSetOf(),
)

/** A crash of [upstream] at [at] and the requests that it had not begun to answer. */
internal data class ObservedCrash(
    val upstream: String,
    val at: Long,
    val requests: List<UnansweredRequest>,
)

private const val BEGAN_REMEMBERED = 4_000
