package hawthorncrank.entry.core.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Evidence against request contents. [crashes] are this entry's own, newest last. [suspects] holds when each suspicion
 * ends; it ends early when the content finishes alone. [convicted] holds when each conviction ends; [listedByControl]
 * are those that control has in force. [reporting] are this entry's own convictions that control has not listed yet.
 */
internal data class SuspectsState(
    val crashes: PersistentList<EngineCrash> = persistentListOf(),
    val suspects: RecentMap<String, Long> = RecentMap(SUSPECTS_REMEMBERED),
    val convicted: RecentMap<String, Long> = RecentMap(CONVICTIONS_REMEMBERED),
    val listedByControl: PersistentMap<String, Long> = persistentMapOf(),
    val controlRevision: Long = -1,
    val reporting: PersistentMap<String, Long> = persistentMapOf(),
    val lifted: RecentMap<String, Long> = RecentMap(SUSPECTS_REMEMBERED),
) {
    fun isConvicted(
        digest: String,
        now: Long,
    ): Boolean = (listedByControl[digest] ?: 0) > now || (convicted[digest] ?: 0) > now

    fun isSuspect(
        digest: String,
        now: Long,
    ): Boolean = (suspects[digest] ?: 0) > now

    fun enginesLost(digest: String): Int = crashes.count { it.blames(digest) }
}

/**
 * An engine connection lost with requests in flight: [contents] are the digests of all of them, [retriedSuspects] of
 * those that were under suspicion when they started. A lifted conviction adds its content to [pardoned]; it stays in
 * [contents], because it still shares the blame with the others.
 */
internal data class EngineCrash(
    val engine: String,
    val at: Long,
    val contents: PersistentSet<String>,
    val retriedSuspects: PersistentSet<String>,
    val pardoned: PersistentSet<String> = persistentSetOf(),
) {
    fun blames(digest: String): Boolean = digest in contents && digest !in pardoned
}

private const val SUSPECTS_REMEMBERED = 1_000
private const val CONVICTIONS_REMEMBERED = 1_000
