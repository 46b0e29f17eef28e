package hawthorncrank.entry.core.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Evidence that request content crashes engines. [crashes] are those that this entry observed, newest last. [suspects]
 * maps content to the end of its suspicion, which ends early if the content finishes as the only suspect on its engine.
 * [convicted] maps content to the end of its conviction, and [listedByControl] does so for the convictions that control
 * lists. [unlisted] are this entry's own convictions that control does not list yet.
 */
internal data class SuspectsState(
    val crashes: PersistentList<EngineCrash> = persistentListOf(),
    val suspects: RecentMap<String, Long> = RecentMap(SUSPECTS_REMEMBERED),
    val convicted: RecentMap<String, Long> = RecentMap(CONVICTIONS_REMEMBERED),
    val listedByControl: PersistentMap<String, Long> = persistentMapOf(),
    val controlRevision: Long = -1,
    val unlisted: PersistentMap<String, Long> = persistentMapOf(),
    val lifted: RecentMap<String, Long> = RecentMap(SUSPECTS_REMEMBERED),
) {
    fun isConvicted(
        digest: String,
        now: Long,
    ): Boolean = (listedByControl[digest] ?: 0) > now || (convicted[digest] ?: 0) > now

    fun convictedUntil(digest: String): Long? = listOfNotNull(listedByControl[digest], convicted[digest]).maxOrNull()

    fun isSuspect(
        digest: String,
        now: Long,
    ): Boolean = (suspects[digest] ?: 0) > now

    fun enginesLost(digest: String): Int = crashes.count { it.implicates(digest) }
}

/**
 * An engine connection that was lost with requests in flight. [contents] are the content digests of all of them, and
 * [retriedSuspects] those that were already suspect when they started. When a conviction ends, its content is added to
 * [cleared]. It stays in [contents], because it remains a possible cause when two crashes are compared.
 */
internal data class EngineCrash(
    val engine: String,
    val at: Long,
    val contents: PersistentSet<String>,
    val retriedSuspects: PersistentSet<String>,
    val cleared: PersistentSet<String> = persistentSetOf(),
) {
    fun implicates(digest: String): Boolean = digest in contents && digest !in cleared
}

private const val SUSPECTS_REMEMBERED = 1_000
private const val CONVICTIONS_REMEMBERED = 1_000
