package hawthorncrank.entry.core.internal

import hawthorncrank.protocol.ListedUpstream
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Which upstreams may get work. [live] is null until the platform's list arrives; until then no upstream is excluded
 * for not being listed. [noticedLeaving] holds the expiry time of each neighbour's notice, because notices are never
 * withdrawn. [listedAt] is when the platform's list was last read. [announcedLeaving] holds the upstreams that said in an
 * answer that they leave, which the platform's list may not show yet. [warming] holds the upstreams whose warm-up was logged
 * as begun.
 */
internal data class MembershipState(
    val live: PersistentSet<String>? = null,
    val listed: PersistentList<ListedUpstream> = persistentListOf(),
    val listedAt: Long? = null,
    val leaving: PersistentSet<String> = persistentSetOf(),
    val drained: PersistentSet<String> = persistentSetOf(),
    val drainRevision: Long = -1,
    val noticedLeaving: PersistentMap<String, Long> = persistentMapOf(),
    val noticesSentAt: Long = 0,
    val listSource: ListSource = ListSource(),
    val announcedLeaving: PersistentMap<String, LeavingAnnouncement> = persistentMapOf(),
    val observed: PersistentMap<String, Observation> = persistentMapOf(),
    val warming: PersistentSet<String> = persistentSetOf(),
)

/**
 * Where the platform's list comes from. [revision] is that of the list held, [requestedAt] when control was last asked for
 * it; [own] is set while this entry reads the list itself.
 */
internal data class ListSource(
    val revision: Long? = null,
    val requestedAt: Long? = null,
    val own: Boolean = false,
)

/**
 * What this entry observed of an upstream. [excluded] is set while it gets no work and is probed, [taken] after another
 * upstream answered in its place, and [held] after it asked for no requests for a time.
 */
internal data class Observation(
    val connectFailures: Int = 0,
    val lostAnswers: Int = 0,
    val excluded: Exclusion? = null,
    val taken: TakenAddress? = null,
    val held: Hold? = null,
) {
    val isEmpty: Boolean
        get() = this == NOTHING

    private companion object {
        val NOTHING = Observation()
    }
}

/** The upstream at [address] asked for no requests before [until]. */
internal data class Hold(
    val address: String,
    val until: Long,
)

/** The upstream at [address] said at [at] that it leaves. */
internal data class LeavingAnnouncement(
    val address: String,
    val at: Long,
)

/** An address at which the upstream gets no work before [until]. */
internal data class TakenAddress(
    val address: String,
    val until: Long,
)

/** [backoff] is the pause before the probe at [nextProbeAt]; [probing] is set while a probe is running. */
internal data class Exclusion(
    val reason: String,
    val backoff: Long,
    val nextProbeAt: Long,
    val probing: Boolean = false,
)
