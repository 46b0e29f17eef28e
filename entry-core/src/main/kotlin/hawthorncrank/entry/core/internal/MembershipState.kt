package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.ListedUpstream
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Which upstreams may get work. [live] is null until the platform's list arrives; until then no upstream is excluded
 * for not being listed. [noticedLeaving] holds the expiry time of each neighbour's notice, because notices are never
 * withdrawn. [listedAt] is when the platform's list was last read.
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
    val observed: PersistentMap<String, Observation> = persistentMapOf(),
)

/**
 * The failures of an upstream that this entry observed. [excluded] is set while it gets no work and is probed, and
 * [taken] after another upstream answered in its place.
 */
internal data class Observation(
    val connectFailures: Int = 0,
    val lostAnswers: Int = 0,
    val excluded: Exclusion? = null,
    val taken: TakenAddress? = null,
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
